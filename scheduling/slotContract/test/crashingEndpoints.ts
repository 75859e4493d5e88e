/** Endpoints that answer requests, or end under them. */
import type {
  AdmittedRequest,
  Dispatch,
  StreamEnd,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';

import type {
  CrashingSet,
  FakeEndpoint,
  RunningStream,
} from './crashingSetModel.js';

export const DEADLY_PART = 'deadly';
export const DEADLY_REQUEST = 'request.deadly';
const FIRST_EVENT_MS = 150;
const ANSWER_MS = 600;
const FAILED_STATUS = 500;
const DOWN_MS = 3_000;

/** Returns whether a request crashes the endpoint that runs it. */
export function isDeadlyRequest({
  requestFingerprint,
  promptParts,
}: AdmittedRequest): boolean {
  return (
    requestFingerprint === toIdentifier(DEADLY_REQUEST) ||
    promptParts?.includes(toIdentifier(DEADLY_PART)) === true
  );
}

/** Lets an endpoint answer a request, unless it ends before. */
export function startAnswer(
  set: CrashingSet,
  endpoint: FakeEndpoint,
  stream: RunningStream,
  onFirstEvent: () => void,
): void {
  const {node, dispatch} = stream;
  const {time} = set.entries;
  const entry = set.entries.find(node);
  const runIfOpen = (action: () => void) => (): void => {
    if (endpoint.streams.get(dispatch.id) === stream) {
      action();
    }
  };
  endpoint.streams.set(dispatch.id, stream);
  time.schedule(
    FIRST_EVENT_MS,
    runIfOpen(() => {
      stream.progress = 'awaitingFirstEvent';
      onFirstEvent();
      if (endpoint.streams.get(dispatch.id) === stream) {
        stream.progress = 'delivering';
        entry.post({kind: 'streamStarted', dispatch: dispatch.id});
      }
    }),
  );
  time.schedule(
    ANSWER_MS,
    runIfOpen(() => {
      endpoint.streams.delete(dispatch.id);
      endStream(set, node, dispatch, {kind: 'complete'});
    }),
  );
}

/** Ends an endpoint with its streams; it restarts under another name. */
export function crashEndpoint(set: CrashingSet, endpoint: FakeEndpoint): void {
  const {time} = set.entries;
  set.crashedAt.push(time.clock.readMonotonic());
  endpoint.isDown = true;
  const streams = [...endpoint.streams.values()];
  endpoint.streams.clear();
  streams.forEach(stream => breakStream(set, stream));
  time.schedule(DOWN_MS, () => {
    endpoint.isDown = false;
    endpoint.starts += 1;
  });
}

function breakStream(
  set: CrashingSet,
  {node, request, dispatch, progress}: RunningStream,
): void {
  if (!set.failsHead || !isDeadlyRequest(request)) {
    const end = {kind: 'cut', detail: 'reset', events: 0, progress} as const;
    endStream(set, node, dispatch, end);
    return;
  }
  endStream(set, node, dispatch, {kind: 'failed', status: FAILED_STATUS});
  set.entries.time.schedule(1, () =>
    set.entries
      .find(node)
      .post({kind: 'failedAnswerBroken', request, dispatch}),
  );
}

/** Tells an entry how one of its streams ended. */
export function endStream(
  {entries}: CrashingSet,
  node: string,
  {id}: Dispatch,
  end: StreamEnd,
): void {
  entries.time.schedule(0, () =>
    entries
      .find(node)
      .post({kind: 'streamEnded', dispatch: id, end, stored: null}),
  );
}
