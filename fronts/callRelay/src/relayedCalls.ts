/** Passes calls on to other entries and their answers to the callers. */
import type {Relay, RelayEnd} from '@gentianshunt/entryModel';
import type {RelayId, RequestId} from '@gentianshunt/identifiers';
import type {Dispatcher} from 'undici';

import {createAnswerDelivery} from './answerDelivery.js';
import type {AnswerDelivery} from './answerDelivery.js';
import {createAnswerWriter} from './answerWriter.js';
import type {AnswerWriter} from './answerWriter.js';
import type {OpenCall} from './callTable.js';
import {createConnectionPools} from './connectionPools.js';
import {createRelayRequest} from './endpointRequest.js';
import type {EndpointStreamOptions} from './endpointStreamOptions.js';
import {guardCall} from './guardCall.js';
import {readRawHeaders} from './rawHeaders.js';
import {isNotSent} from './streamErrors.js';

const FIRST_FINAL_STATUS = 200;
const SENT_BEFORE = 0;
const CANCELLED = 'cancelled';

/** The calls that were passed on to other entries. */
export interface RelayedCalls {
  open(request: RequestId, relay: Relay): void;
  cancel(relay: Relay): void;
  close(): Promise<void>;
}

/** Creates a client with its own connections to other entries. */
export function createRelayedCalls(
  options: EndpointStreamOptions,
): RelayedCalls {
  const pools = createConnectionPools();
  const open = new Map<RelayId, RelayedCall>();
  const report = (
    request: RequestId,
    {id: relay}: Relay,
    end: RelayEnd,
  ): void => {
    open.delete(relay);
    options.post({kind: 'relayEnded', request, relay, end});
  };
  return {
    open: (request, relay) => {
      const call = options.calls.find(request);
      if (call === undefined) {
        report(request, relay, {kind: 'notSent', detail: 'callerGone'});
        return;
      }
      if (call.response.headersSent) {
        const detail = 'the answer has begun';
        report(request, relay, {kind: 'cut', detail, hasBegun: true});
        return;
      }
      // The other entry decides when the caller may have the first event.
      call.hold.release();
      const relayed = createRelayedCall(options, call, end =>
        report(request, relay, end),
      );
      open.set(relay.id, relayed);
      const {host, port} = relay.address;
      const origin = `http://${host}:${port}`;
      const guard = {
        step: 'relayCall',
        peer: origin,
        onStep: options.onStep,
        onFailed: relayed.fail,
      };
      guardCall(guard, () =>
        pools
          .find(SENT_BEFORE)
          .dispatch(createRelayRequest(options, call, origin), relayed.handler),
      );
    },
    cancel: ({id}) => {
      open.get(id)?.cancel();
      open.delete(id);
    },
    close: () => pools.close(),
  };
}

interface RelayedCall {
  readonly handler: Dispatcher.DispatchHandler;
  fail(error: Error): void;
  cancel(): void;
}

function createRelayedCall(
  options: EndpointStreamOptions,
  call: OpenCall,
  report: (end: RelayEnd) => void,
): RelayedCall {
  let controller: Dispatcher.DispatchController | undefined;
  let writer: AnswerWriter | undefined;
  let isEnded = false;
  const end = (result: RelayEnd): void => {
    if (!isEnded) {
      isEnded = true;
      report(result);
    }
  };
  const cut = (detail: string): void =>
    end({kind: 'cut', detail, hasBegun: call.response.headersSent});
  const fail = (error: Error): void => {
    cut(error.message);
    controller?.abort(error);
  };
  const delivery: AnswerDelivery = createAnswerDelivery({
    gate: options.gate,
    call,
    isEnded: () => isEnded,
    onComplete: () => {
      options.calls.remove(call.id);
      end({kind: 'complete'});
    },
    onCut: cut,
    onFailed: fail,
  });
  return {
    fail,
    cancel: () => {
      isEnded = true;
      controller?.abort(new Error(CANCELLED));
    },
    handler: {
      onRequestStart: started => {
        controller = started;
        if (isEnded) {
          started.abort(new Error(CANCELLED));
        }
      },
      onResponseStart: (started, status) => {
        if (status >= FIRST_FINAL_STATUS) {
          const head = {status, headers: readRawHeaders(started)};
          writer = createAnswerWriter(call, head, false);
        }
      },
      onResponseData: (started, chunk) => {
        if (writer !== undefined && !isEnded && chunk.length > 0) {
          delivery.write(started, writer, chunk);
        }
      },
      onResponseEnd: () => {
        if (writer !== undefined) {
          delivery.end(writer);
        }
      },
      onResponseError: (_controller, error) => {
        if (isNotSent(error)) {
          end({kind: 'notSent', detail: error.message});
        } else {
          cut(error.message);
        }
      },
    },
  };
}
