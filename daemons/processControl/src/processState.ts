/** Decides how a process starts, drains and ends; pure functions over a state. */
import {assertNever} from '@gentianshunt/errors';

import type {EndCause} from './endCause.js';
import {SIGNAL_REQUESTS} from './signals.js';
import {isConnectionError} from './uncaughtError.js';

/** Longest time that a process drains after a fault. */
export const FAULT_DRAIN_LIMIT_MS = 5_000;
/** Longest time until a start that was cancelled has ended. */
export const CANCELLED_START_LIMIT_MS = 1_000;

/** What differs between programs. */
export interface ProcessPolicy {
  /** Whether a second stop signal ends a shutdown in progress. */
  readonly repeatedStop: 'endAtOnce' | 'keepDraining';
  /** Whether `SIGHUP` makes the program read its settings again. */
  readonly reload: 'supported' | 'unsupported';
}

/** What a process is doing. */
export type ProcessState =
  | {readonly kind: 'starting'; readonly isReloadRequested: boolean}
  /** A stop signal came during the start. */
  | {readonly kind: 'cancellingStart'; readonly cause: EndCause}
  | {readonly kind: 'running'}
  /** Finishes what is in progress and accepts nothing new. */
  | {readonly kind: 'draining'; readonly cause: EndCause}
  | {readonly kind: 'ended'};

/** What happened to a process. */
export type ProcessEvent =
  | {readonly kind: 'signalReceived'; readonly signal: NodeJS.Signals}
  | {readonly kind: 'started'}
  | {readonly kind: 'startFailed'; readonly cause: EndCause}
  /** Nothing handled an error or the rejection of a promise. */
  | {readonly kind: 'errorUncaught'; readonly error: Error}
  /** A part of the process cannot go on. */
  | {readonly kind: 'partFailed'; readonly cause: EndCause}
  | {readonly kind: 'drained'}
  /** The time that `limitTime` set is over. */
  | {readonly kind: 'limitReached'};

/** What to do about it. */
export type ProcessAction =
  | {readonly kind: 'recordIgnoredSignal'; readonly signal: NodeJS.Signals}
  | {readonly kind: 'recordConnectionError'; readonly error: Error}
  | {readonly kind: 'recordFault'; readonly cause: EndCause}
  | {readonly kind: 'cancelStart'}
  | {readonly kind: 'reload'}
  | {readonly kind: 'drain'; readonly cause: EndCause}
  /** Ends the process after a time at the latest; replaces an earlier limit. */
  | {readonly kind: 'limitTime'; readonly limitMs: number}
  | {readonly kind: 'exit'; readonly cause: EndCause};

/** The state after an event, and the actions to perform in order. */
export interface ProcessTransition {
  readonly state: ProcessState;
  readonly actions: readonly ProcessAction[];
}

/** The state of a process whose first line runs. */
export const INITIAL_STATE: ProcessState = {
  kind: 'starting',
  isReloadRequested: false,
};

/** Decides what a process does after an event. */
export function advanceProcess(
  policy: ProcessPolicy,
  state: ProcessState,
  event: ProcessEvent,
): ProcessTransition {
  switch (event.kind) {
    case 'signalReceived':
      return handleSignal(policy, state, event.signal);
    case 'started':
      return completeStart(state);
    case 'startFailed':
      return failStart(state, event.cause);
    case 'errorUncaught':
      return isConnectionError(event.error)
        ? createTransition(state, {
            kind: 'recordConnectionError',
            error: event.error,
          })
        : handleFault(state, {kind: 'fault', error: event.error});
    case 'partFailed':
      return handleFault(state, event.cause);
    case 'drained':
      return state.kind === 'draining'
        ? exit(state.cause)
        : createTransition(state);
    case 'limitReached':
      return state.kind === 'draining' || state.kind === 'cancellingStart'
        ? exit(state.cause)
        : createTransition(state);
    default:
      return assertNever(event, 'advanceProcess');
  }
}

function handleSignal(
  policy: ProcessPolicy,
  state: ProcessState,
  signal: NodeJS.Signals,
): ProcessTransition {
  const request = SIGNAL_REQUESTS.get(signal) ?? 'none';
  switch (request) {
    case 'stop':
      return handleStop(policy, state, signal);
    case 'reload':
      return policy.reload === 'supported'
        ? handleReload(state, signal)
        : ignoreSignal(state, signal);
    case 'none':
      return ignoreSignal(state, signal);
    default:
      return assertNever(request, 'handleSignal');
  }
}

function handleStop(
  policy: ProcessPolicy,
  state: ProcessState,
  signal: NodeJS.Signals,
): ProcessTransition {
  const cause: EndCause = {kind: 'stopped', signal};
  switch (state.kind) {
    case 'starting':
      return {
        state: {kind: 'cancellingStart', cause},
        actions: [
          {kind: 'cancelStart'},
          {kind: 'limitTime', limitMs: CANCELLED_START_LIMIT_MS},
        ],
      };
    case 'running':
      return {
        state: {kind: 'draining', cause},
        actions: [{kind: 'drain', cause}],
      };
    case 'cancellingStart':
    case 'draining':
      return policy.repeatedStop === 'endAtOnce'
        ? exit({kind: 'forced', signal})
        : ignoreSignal(state, signal);
    case 'ended':
      return createTransition(state);
    default:
      return assertNever(state, 'handleStop');
  }
}

function handleReload(
  state: ProcessState,
  signal: NodeJS.Signals,
): ProcessTransition {
  switch (state.kind) {
    case 'starting':
      return createTransition({...state, isReloadRequested: true});
    case 'running':
      return createTransition(state, {kind: 'reload'});
    case 'cancellingStart':
    case 'draining':
    case 'ended':
      return ignoreSignal(state, signal);
    default:
      return assertNever(state, 'handleReload');
  }
}

function completeStart(state: ProcessState): ProcessTransition {
  switch (state.kind) {
    case 'starting':
      return {
        state: {kind: 'running'},
        actions: state.isReloadRequested ? [{kind: 'reload'}] : [],
      };
    case 'cancellingStart':
      return {
        state: {kind: 'draining', cause: state.cause},
        actions: [{kind: 'drain', cause: state.cause}],
      };
    case 'running':
    case 'draining':
    case 'ended':
      return createTransition(state);
    default:
      return assertNever(state, 'completeStart');
  }
}

function failStart(state: ProcessState, cause: EndCause): ProcessTransition {
  switch (state.kind) {
    case 'starting':
      return exit(cause);
    case 'cancellingStart':
      return exit(state.cause);
    case 'running':
    case 'draining':
    case 'ended':
      return createTransition(state);
    default:
      return assertNever(state, 'failStart');
  }
}

/**
 * A process with a fault completes what callers wait for, within a limit. One
 * that has started nothing yet, or whose disk has failed, ends at once.
 */
function handleFault(state: ProcessState, cause: EndCause): ProcessTransition {
  const recordFault: ProcessAction = {kind: 'recordFault', cause};
  const limitTime: ProcessAction = {
    kind: 'limitTime',
    limitMs: FAULT_DRAIN_LIMIT_MS,
  };
  switch (state.kind) {
    case 'starting':
    case 'cancellingStart':
      return exit(cause);
    case 'running':
      return cause.kind === 'storageFailed'
        ? exit(cause)
        : {
            state: {kind: 'draining', cause},
            actions: [recordFault, limitTime, {kind: 'drain', cause}],
          };
    case 'draining':
      // The limit of the first fault stands, however many follow.
      return state.cause.kind === 'stopped'
        ? {state: {kind: 'draining', cause}, actions: [recordFault, limitTime]}
        : createTransition(state, recordFault);
    case 'ended':
      return createTransition(state);
    default:
      return assertNever(state, 'handleFault');
  }
}

function ignoreSignal(
  state: ProcessState,
  signal: NodeJS.Signals,
): ProcessTransition {
  return createTransition(state, {kind: 'recordIgnoredSignal', signal});
}

function createTransition(
  state: ProcessState,
  ...actions: readonly ProcessAction[]
): ProcessTransition {
  return {state, actions};
}

function exit(cause: EndCause): ProcessTransition {
  return {state: {kind: 'ended'}, actions: [{kind: 'exit', cause}]};
}
