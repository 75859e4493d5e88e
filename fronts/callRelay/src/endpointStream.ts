import {MAX_HEAD_BYTES} from '@gentianshunt/callerFront';
import type {
  AdmittedRequest,
  Dispatch,
  StreamEnd,
} from '@gentianshunt/entryModel';
import type {DispatchId} from '@gentianshunt/identifiers';
import {recordReadBytes} from '@gentianshunt/requestBodies';
import type {Dispatcher} from 'undici';

import {decideAnswerAction} from './answerAction.js';
import type {AnswerAction} from './answerAction.js';
import {createAnswerWriter} from './answerWriter.js';
import type {AnswerWriter} from './answerWriter.js';
import type {AnswerHead} from './callProtocol.js';
import type {OpenCall} from './callTable.js';
import {createConnectionPools} from './connectionPools.js';
import {createEndpointRequest, describeCall} from './endpointRequest.js';
import type {EndpointStreamOptions} from './endpointStreamOptions.js';
import {createProgressTracker} from './progressTracker.js';
import {
  createTokenReporter,
  createUnboundedReporter,
  reportSignals,
} from './streamReports.js';
import {findWithholdCause} from './withholdCause.js';
import {createDroppedBody} from './droppedBody.js';
import type {DroppedBody} from './droppedBody.js';
import {guardCall} from './guardCall.js';
import {createAnswerDelivery} from './answerDelivery.js';
import {readRawHeaders} from './rawHeaders.js';
import {isBrokenFailure, isHeadOverflow, toStreamEnd} from './streamErrors.js';

/** Most informational heads before the head of an answer. */
const MAX_INFORMATIONAL_HEADS = 8;
const TOO_MANY_HEADS = 'too many informational heads';
const FIRST_FINAL_STATUS = 200;
const SUCCESS = 200;

/** Opens and cancels the answer streams from endpoints. */
export interface EndpointStreams {
  open(request: AdmittedRequest, dispatch: Dispatch): void;
  cancel(dispatch: Dispatch): void;
  close(): Promise<void>;
}

/** Creates a client with its own connections to the endpoints. */
export function createEndpointStreams(
  options: EndpointStreamOptions,
): EndpointStreams {
  const pools = createConnectionPools();
  const streams = new Map<DispatchId, EndpointStream>();
  return {
    open: (request, dispatch) => {
      const call = options.calls.find(request.id);
      if (call === undefined) {
        postEnd(options, dispatch, {kind: 'withheld', cause: 'callerGone'});
        return;
      }
      const stream = createStream(options, {
        call,
        request,
        dispatch,
        onEnded: () => streams.delete(dispatch.id),
      });
      streams.set(dispatch.id, stream);
      const guard = {
        step: 'sendCall',
        peer: dispatch.target.url,
        onStep: options.onStep,
        onFailed: stream.fail,
      };
      options.loop.runAfterReading(() => {
        if (stream.canSend()) {
          const pool = pools.find(call.sentCount);
          call.sentCount += 1;
          guardCall(guard, () =>
            pool.dispatch(
              createEndpointRequest(options, call, request, dispatch),
              stream.handler,
            ),
          );
        }
      });
    },
    cancel: dispatch => {
      streams.get(dispatch.id)?.cancel();
      streams.delete(dispatch.id);
    },
    close: () => pools.close(),
  };
}

function postEnd(
  {post}: EndpointStreamOptions,
  dispatch: Dispatch,
  end: StreamEnd,
): void {
  post({kind: 'streamEnded', dispatch: dispatch.id, end, stored: null});
}

interface EndpointStream {
  readonly handler: Dispatcher.DispatchHandler;
  /** Returns whether the call may be sent; if not, the stream has ended. */
  canSend(): boolean;
  /** Ends the stream after an unexpected error. */
  fail(error: Error): void;
  cancel(): void;
}

/** How a stream handles the body of an answer. */
type BodyHandling =
  | {readonly kind: 'awaitingHead'}
  | {readonly kind: 'pass'; readonly writer: AnswerWriter}
  | {
      readonly kind: 'discard';
      readonly drop: DroppedBody;
      /** How the head of the answer ended the request. */
      readonly end: StreamEnd;
    };

/** Options of one stream. */
interface StreamOptions {
  readonly call: OpenCall;
  readonly request: AdmittedRequest;
  readonly dispatch: Dispatch;
  readonly onEnded: () => void;
}

function createStream(
  options: EndpointStreamOptions,
  {call, request, dispatch, onEnded}: StreamOptions,
): EndpointStream {
  let controller: Dispatcher.DispatchController | undefined;
  let handling: BodyHandling = {kind: 'awaitingHead'};
  let isEnded = false;
  let informationalHeads = 0;
  const progress = createProgressTracker();
  const reportTokens = createTokenReporter(options, dispatch);
  const end = (reason: StreamEnd): void => {
    if (!isEnded) {
      isEnded = true;
      onEnded();
      postEnd(options, dispatch, reason);
    }
  };
  const reportUnbounded = createUnboundedReporter(options, dispatch);
  const discard = (
    started: Dispatcher.DispatchController,
    ending: StreamEnd,
  ): BodyHandling => ({
    kind: 'discard',
    end: ending,
    drop: createDroppedBody(started, detail =>
      reportUnbounded('dropBody', detail),
    ),
  });
  const abort = (detail: string): void => {
    end({kind: 'cut', detail, events: 0, progress: progress.read()});
    controller?.abort(new Error(detail));
  };
  const delivery = createAnswerDelivery({
    gate: options.gate,
    call,
    isEnded: () => isEnded,
    onComplete: () => {
      options.calls.remove(call.id);
      end({kind: 'complete'});
    },
    onCut: detail =>
      end({kind: 'cut', detail, events: 0, progress: progress.read()}),
    onFailed: error => abort(error.message),
  });
  const canSend = (): boolean => {
    const cause = findWithholdCause(options, call, request, dispatch);
    if (cause === undefined || isEnded) {
      return !isEnded;
    }
    const details = describeCall(options, call, request, dispatch);
    options.onStep({kind: 'withheld', cause, ...details});
    end({kind: 'withheld', cause});
    return false;
  };
  return {
    canSend,
    fail: error => abort(error.message),
    cancel: () => {
      isEnded = true;
      // Without a connection yet, `onRequestStart` aborts the request.
      controller?.abort(new Error('cancelled'));
    },
    handler: {
      onRequestStart: started => {
        controller = started;
        // Connecting to the endpoint takes time, so this is checked again.
        if (!canSend()) {
          started.abort(new Error('cancelled'));
          return;
        }
        options.onStep({
          kind: 'sent',
          ...describeCall(options, call, request, dispatch),
        });
      },
      onResponseStart: (started, status) => {
        if (status < FIRST_FINAL_STATUS) {
          informationalHeads += 1;
          if (informationalHeads > MAX_INFORMATIONAL_HEADS) {
            reportUnbounded('readHead', TOO_MANY_HEADS);
            abort(TOO_MANY_HEADS);
          }
          return;
        }
        progress.recordHead();
        const head = {status, headers: readRawHeaders(started)};
        const action = readHead(options, {call, request, dispatch}, head);
        switch (action.kind) {
          case 'pass':
            handling = {
              kind: 'pass',
              writer: createAnswerWriter(
                call,
                head,
                status === SUCCESS && isResumable(request),
              ),
            };
            return;
          case 'foreign':
            abort('the answer belongs to another call');
            return;
          case 'malformed':
            abort(`the answer is malformed: ${action.detail}`);
            return;
          case 'ended':
            handling = discard(started, action.end);
            end(action.end);
            return;
        }
      },
      onResponseData: (started, chunk) => {
        recordReadBytes(chunk.length);
        if (handling.kind === 'discard') {
          handling.drop.add(chunk.length);
          return;
        }
        // A resumed client begins with a chunk without bytes.
        if (handling.kind !== 'pass' || isEnded || chunk.length === 0) {
          return;
        }
        const {writer} = handling;
        progress.recordChunk(chunk);
        reportTokens();
        delivery.write(started, writer, chunk);
      },
      onResponseEnd: () => {
        if (handling.kind === 'discard') {
          handling.drop.end();
        }
        if (handling.kind === 'pass') {
          delivery.end(handling.writer);
        }
      },
      onResponseError: (_controller, error) => {
        if (handling.kind === 'discard') {
          handling.drop.end();
          if (isBrokenFailure(handling.end, error)) {
            options.post({kind: 'failedAnswerBroken', request, dispatch});
          }
        }
        if (isHeadOverflow(error)) {
          reportUnbounded('readHead', `more than ${MAX_HEAD_BYTES} bytes`);
        }
        end(toStreamEnd(error, progress.read()));
      },
    },
  };
}

/** Reports what the head of an answer states and decides how to handle it. */
function readHead(
  options: EndpointStreamOptions,
  {call, request, dispatch}: Omit<StreamOptions, 'onEnded'>,
  head: AnswerHead,
): AnswerAction {
  const attributes = options.protocol.readAnswer(head);
  const action = decideAnswerAction(attributes, call, request, dispatch, head);
  if (action.kind !== 'malformed') {
    reportSignals(options, request, dispatch, attributes);
  }
  return action;
}

function isResumable({routePolicy, isIdempotent}: AdmittedRequest): boolean {
  return routePolicy?.isResumable === true && isIdempotent === true;
}
