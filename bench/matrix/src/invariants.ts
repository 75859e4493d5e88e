import type {Milliseconds} from '@gentianshunt/clock';

import {listEvents} from './trace.js';
import type {TraceEvent} from './trace.js';

/** Longest time in which old slots may still be used. */
export const SLOT_LIFETIME_MS: Milliseconds = 2_000;
/** After this time a leaving endpoint gets no new work. */
export const LEAVING_LIMIT_MS: Milliseconds = 3_000;
/** Within this time an accepted configuration is in force. */
export const IN_FORCE_LIMIT_MS: Milliseconds = 8_000;

type Trace = readonly TraceEvent[];

/** Names of the invariants. */
export type InvariantName =
  | 'dispatchedAtMostOnce'
  | 'higherTierNotShedFirst'
  | 'wholeAnswerToOwnRequest'
  | 'notRunIsTrue'
  | 'nonIdempotentRunsAtMostOnce'
  | 'leavingEndpointGetsNoWork'
  | 'shutdownCutsNothing'
  | 'configurationInForceAndKept';

/** An invariant and the check of a trace against it. */
export interface Invariant {
  readonly name: InvariantName;
  /** Lists what in the trace breaks the invariant. */
  readonly check: (trace: Trace) => readonly string[];
}

/** The invariants that every cell is checked for. */
export const INVARIANTS: readonly Invariant[] = [
  {name: 'dispatchedAtMostOnce', check: checkDispatches},
  {name: 'higherTierNotShedFirst', check: checkShedding},
  {name: 'wholeAnswerToOwnRequest', check: checkAnswers},
  {name: 'notRunIsTrue', check: checkNotRun},
  {name: 'nonIdempotentRunsAtMostOnce', check: checkKeys},
  {name: 'leavingEndpointGetsNoWork', check: checkLeaving},
  {name: 'shutdownCutsNothing', check: checkShutdown},
  {name: 'configurationInForceAndKept', check: checkConfiguration},
];

function listRepeated(names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  return names.filter(name => {
    const isRepeated = seen.has(name);
    seen.add(name);
    return isRepeated;
  });
}

function checkDispatches(trace: Trace): readonly string[] {
  const opened = listEvents(trace, 'opened').map(event => event.request);
  const ran = listEvents(trace, 'ran').map(event => event.request);
  return [...listRepeated(opened), ...listRepeated(ran)].map(
    request => `${request} was dispatched again`,
  );
}

/** A lower tier may not be served once a higher one has been shed. */
function checkShedding(trace: Trace): readonly string[] {
  const accepted = new Map(
    listEvents(trace, 'accepted').map(event => [event.request, event]),
  );
  const opened = listEvents(trace, 'opened');
  return listEvents(trace, 'refused')
    .filter(refusal => refusal.reason === 'shed')
    .flatMap(refusal => {
      const shed = accepted.get(refusal.request)!;
      const favoured = opened.filter(({request, at}) => {
        const other = accepted.get(request)!;
        return (
          other.set === shed.set &&
          other.rank > shed.rank &&
          other.at <= refusal.at &&
          at > refusal.at + SLOT_LIFETIME_MS
        );
      });
      return favoured.map(
        ({request}) =>
          `${request} was served after ${refusal.request} was shed`,
      );
    });
}

function checkAnswers(trace: Trace): readonly string[] {
  return listEvents(trace, 'delivered')
    .filter(({expected, received}) => expected !== received)
    .map(
      ({request, expected, received}) =>
        `${request} got "${received}" for "${expected}"`,
    );
}

function checkNotRun(trace: Trace): readonly string[] {
  const ran = new Set(listEvents(trace, 'ran').map(event => event.request));
  return listEvents(trace, 'refused')
    .filter(({notRun, request}) => notRun && ran.has(request))
    .map(({request}) => `${request} ran although it was refused as not run`);
}

function checkKeys(trace: Trace): readonly string[] {
  const keys = listEvents(trace, 'ran').flatMap(({key}) =>
    key === null ? [] : [key],
  );
  return listRepeated(keys).map(key => `key ${key} ran again`);
}

function checkLeaving(trace: Trace): readonly string[] {
  const leaving = new Map<string, number>();
  for (const {endpoint, at} of listEvents(trace, 'leaving')) {
    leaving.set(endpoint, leaving.get(endpoint) ?? at);
  }
  return listEvents(trace, 'ran')
    .filter(
      ({endpoint, at}) =>
        at > (leaving.get(endpoint) ?? Infinity) + LEAVING_LIMIT_MS,
    )
    .map(({endpoint, request}) => `${endpoint} was leaving and got ${request}`);
}

function checkShutdown(trace: Trace): readonly string[] {
  return listEvents(trace, 'exited')
    .filter(({openCallers}) => openCallers > 0)
    .map(({entry, openCallers}) => `${entry} left ${openCallers} callers`);
}

function checkConfiguration(trace: Trace): readonly string[] {
  return [
    ...listNumberClashes(trace),
    ...listReversions(trace),
    ...listLateEntries(trace),
  ];
}

/** A command number may be accepted for one command only. */
function listNumberClashes(trace: Trace): readonly string[] {
  const digests = new Map<number, string>();
  const clashes: string[] = [];
  for (const {number, digest} of listEvents(trace, 'commandAccepted')) {
    if ((digests.get(number) ?? digest) !== digest) {
      clashes.push(`command ${number} was accepted twice`);
    }
    digests.set(number, digest);
  }
  return clashes;
}

function listReversions(trace: Trace): readonly string[] {
  const versions = new Map<string, number>();
  const reversions: string[] = [];
  for (const event of listEvents(trace, 'configuration')) {
    const before = versions.get(event.incarnation) ?? 0;
    if (event.version < before) {
      reversions.push(`${event.entry} went back to ${event.version}`);
    }
    versions.set(event.incarnation, event.version);
  }
  return reversions;
}

/** Later, an entry may only serve with what was accepted before. */
function listLateEntries(trace: Trace): readonly string[] {
  const commands = listEvents(trace, 'commandAccepted');
  return listEvents(trace, 'configuration')
    .filter(event => event.isServing)
    .flatMap(event => {
      const due = commands.filter(
        command => event.at > command.at + IN_FORCE_LIMIT_MS,
      );
      const latest = due.reduce(
        (best, command) =>
          best === undefined || command.version > best.version ? command : best,
        undefined as (typeof due)[number] | undefined,
      );
      const isHeld =
        latest === undefined ||
        event.version > latest.version ||
        (event.version === latest.version && event.weight === latest.weight);
      const hasLost =
        latest !== undefined &&
        event.version > latest.version &&
        !commands.some(command => command.weight === event.weight);
      return isHeld && !hasLost
        ? []
        : [`${event.entry} serves version ${event.version} at ${event.at}`];
    });
}

/** One broken invariant. */
export interface Violation {
  readonly invariant: InvariantName;
  readonly detail: string;
}

/** Checks a trace against every invariant. */
export function checkTrace(trace: Trace): readonly Violation[] {
  return INVARIANTS.flatMap(({name, check}) =>
    check(trace).map(detail => ({invariant: name, detail})),
  );
}
