// The answer streams between a simulated entry and its endpoints.
import type {Dispatch, EntryEffect, StreamEnd} from '@gentianshunt/entryModel';

import {formatTokens} from './caller.js';
import type {EntryHostOptions, HostState} from './entryHostState.js';
import type {Reader} from './fakeEndpoint.js';
import type {FakeProcess} from './fakeProcess.js';
import type {Network, Transmission} from './network.js';

/** Sends a request to an endpoint; its answer arrives at a reader. */
export function openStream(
  options: EntryHostOptions,
  state: HostState,
  effect: Extract<EntryEffect, {readonly kind: 'openStream'}>,
): void {
  const {process, clock, network, peers, record, onStep} = options;
  const {request, dispatch} = effect;
  const attempt = state.attempts.get(request.id);
  const endpoint = peers.findEndpoint(dispatch.target.endpoint);
  const at = clock.readMonotonic();
  record({at, kind: 'opened', entry: process.id, request: request.id});
  onStep('dispatched', {entry: process, request: request.id});
  if (!process.isAlive || attempt === undefined) {
    return;
  }
  if (!endpoint.process.isAlive) {
    const end = {kind: 'notSent', detail: 'ECONNREFUSED'} as const;
    process.schedule(1, () => endStream(state, dispatch, end));
    return;
  }
  state.streams.set(dispatch.id, {attempt, received: []});
  const reader = createReader(options, state, dispatch);
  const {plan} = attempt;
  const key = plan.key === null ? null : plan.key;
  const tokens = formatTokens(plan);
  const job = {dispatch: dispatch.id, request: request.id, key, tokens};
  sendStream(network, process, endpoint.process, {
    deliver: () => endpoint.open(job, reader),
    onBroken: reader.onBroken,
  });
}

function sendStream(
  network: Network,
  from: FakeProcess,
  to: FakeProcess,
  rest: Pick<Transmission, 'deliver' | 'onBroken'>,
): void {
  network.send({kind: 'stream', from, to, ...rest});
}

function createReader(
  {process, onStep}: EntryHostOptions,
  state: HostState,
  dispatch: Dispatch,
): Reader {
  return {
    process,
    onToken: (token, isLast) => {
      const stream = state.streams.get(dispatch.id);
      if (stream === undefined) {
        return;
      }
      stream.received.push(token);
      state.node.post({kind: 'streamStarted', dispatch: dispatch.id});
      if (isLast) {
        onStep('endMark', {entry: process, request: stream.attempt.request});
        endStream(state, dispatch, {kind: 'complete'});
      }
    },
    onBroken: () => {
      const events = state.streams.get(dispatch.id)?.received.length ?? 0;
      const detail = 'connection lost';
      process.run(() =>
        endStream(state, dispatch, {
          kind: 'cut',
          detail,
          events,
          progress: events > 0 ? 'delivering' : 'awaitingHead',
        }),
      );
    },
  };
}

function endStream(state: HostState, dispatch: Dispatch, end: StreamEnd): void {
  const stream = state.streams.get(dispatch.id);
  const answer = stream?.received.join(' ') ?? '';
  const isWhole = end.kind === 'complete';
  const stored = isWhole
    ? {status: 200, contentType: 'text/plain', body: Buffer.from(answer)}
    : null;
  state.node.post({kind: 'streamEnded', dispatch: dispatch.id, end, stored});
  if (isWhole && stream !== undefined) {
    state.streams.delete(dispatch.id);
    state.attempts.delete(stream.attempt.request);
    stream.attempt.finish(answer);
  }
}

/** Asks an endpoint for the rest of an answer. */
export function resumeStream(
  options: EntryHostOptions,
  state: HostState,
  dispatch: Dispatch,
  fromEvent: number,
): void {
  const {process, network, peers} = options;
  const endpoint = peers.findEndpoint(dispatch.target.endpoint);
  const reader = createReader(options, state, dispatch);
  sendStream(network, process, endpoint.process, {
    deliver: () => {
      if (!endpoint.resume(dispatch.id, fromEvent, reader)) {
        const end = {kind: 'rejected', status: 404} as const;
        process.schedule(1, () => endStream(state, dispatch, end));
      }
    },
    onBroken: reader.onBroken,
  });
}

/** Cancels a request at its endpoint. */
export function cancelStream(
  options: EntryHostOptions,
  dispatch: Dispatch,
): void {
  const {process, network, peers, onStep} = options;
  const endpoint = peers.findEndpoint(dispatch.target.endpoint);
  onStep('cancelSent', {entry: process, endpoint: endpoint.process});
  sendStream(network, process, endpoint.process, {
    deliver: () => endpoint.cancel(dispatch.id),
  });
}
