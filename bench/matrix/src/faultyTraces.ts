import {INVARIANTS} from './invariants.js';
import type {InvariantName} from './invariants.js';
import type {TraceEvent} from './trace.js';

/** A trace that violates one invariant. */
export interface FaultyTrace {
  readonly violates: InvariantName;
  readonly trace: readonly TraceEvent[];
}

function createRun(request: string, at = 0): TraceEvent {
  return {at, kind: 'ran', endpoint: 'engine-0', request, key: null};
}

function createOpening(request: string, at = 0): TraceEvent {
  return {at, kind: 'opened', entry: 'entry-0', request};
}

function createAcceptance(request: string, rank: number): TraceEvent {
  const entry = 'entry-0';
  return {at: 0, kind: 'accepted', entry, request, set: 'drafts', rank};
}

function createRefusal(request: string, reason: string): TraceEvent {
  const entry = 'entry-0';
  return {at: 10, kind: 'refused', entry, request, reason, notRun: true};
}

function createSample(version: number, at: number): TraceEvent {
  return {
    at,
    kind: 'configuration',
    entry: 'entry-0',
    incarnation: 'entry-0/1',
    version,
    weight: 1,
    isServing: true,
  };
}

/** Lists traces that each violate one invariant, at least one for each. */
export function listFaultyTraces(): readonly FaultyTrace[] {
  return [
    {
      violates: 'dispatchedAtMostOnce',
      trace: [createOpening('a'), createOpening('a', 5)],
    },
    {
      violates: 'higherTierNotShedFirst',
      trace: [
        createAcceptance('a', 1),
        createAcceptance('b', 2),
        createRefusal('a', 'shed'),
        createOpening('b', 5_000),
      ],
    },
    {
      violates: 'wholeAnswerToOwnRequest',
      trace: [
        {
          at: 0,
          kind: 'delivered',
          request: 'a',
          expected: 'a#0 a#1',
          received: 'a#0',
        },
      ],
    },
    {
      violates: 'notRunIsTrue',
      trace: [createRun('a'), createRefusal('a', 'endpointFailed')],
    },
    {
      violates: 'nonIdempotentRunsAtMostOnce',
      trace: [
        {at: 0, kind: 'ran', endpoint: 'r', request: 'a.0', key: 'k'},
        {at: 9, kind: 'ran', endpoint: 'r', request: 'a.1', key: 'k'},
      ],
    },
    {
      violates: 'leavingEndpointGetsNoWork',
      trace: [
        {at: 0, kind: 'leaving', endpoint: 'engine-0'},
        createRun('a', 4_000),
      ],
    },
    {
      violates: 'shutdownCutsNothing',
      trace: [{at: 0, kind: 'exited', entry: 'entry-0', openCallers: 1}],
    },
    {
      violates: 'configurationInForceAndKept',
      trace: [createSample(7, 0), createSample(6, 10)],
    },
  ];
}

/** Counts the checkers that report a trace made to violate their invariant. */
export function countVerifiedCheckers(): number {
  const traces = listFaultyTraces();
  return INVARIANTS.filter(({name, check}) =>
    traces.some(
      ({violates, trace}) => violates === name && check(trace).length > 0,
    ),
  ).length;
}
