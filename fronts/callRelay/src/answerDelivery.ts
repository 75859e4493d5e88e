/** Passes the body of an answer on to the caller, once the entry lets it. */
import type {MemoryGate} from '@gentianshunt/requestBodies';
import type {Dispatcher} from 'undici';

import {createAnswerPause} from './answerPause.js';
import type {AnswerWriter} from './answerWriter.js';
import type {OpenCall} from './callTable.js';

/** Options of the delivery of one answer. */
export interface AnswerDeliveryOptions {
  readonly gate: MemoryGate;
  readonly call: OpenCall;
  /** Returns whether the stream has ended, so that nothing more is delivered. */
  readonly isEnded: () => boolean;
  readonly onComplete: () => void;
  /** Called if the answer ends before it is complete. */
  readonly onCut: (detail: string) => void;
  readonly onFailed: (error: Error) => void;
}

/** The delivery of one answer. */
export interface AnswerDelivery {
  write(
    started: Dispatcher.DispatchController,
    writer: AnswerWriter,
    chunk: Buffer,
  ): void;
  end(writer: AnswerWriter): void;
}

/** Creates the delivery of one answer; it reads no further while that is held. */
export function createAnswerDelivery(
  options: AnswerDeliveryOptions,
): AnswerDelivery {
  const {hold, response} = options.call;
  const pause = createAnswerPause(options.gate, response);
  let hasBody = false;
  const write = (writer: AnswerWriter, chunk: Buffer): boolean => {
    try {
      return options.isEnded() || writer.write(chunk);
    } catch (error) {
      options.onFailed(error as Error);
      return true;
    }
  };
  const end = (writer: AnswerWriter): void => {
    if (options.isEnded()) {
      return;
    }
    if (writer.end()) {
      options.onComplete();
    } else {
      options.onCut('the last event is not whole');
    }
  };
  return {
    write: (started, writer, chunk) => {
      hasBody = true;
      if (hold.isHeld) {
        started.pause();
        hold.run(() => started.resume());
      }
      hold.run(() => {
        if (!write(writer, chunk)) {
          pause(started);
        }
      });
    },
    // The entry hears of an answer by its first bytes, and holds none without.
    end: writer => (hasBody ? hold.run(() => end(writer)) : end(writer)),
  };
}
