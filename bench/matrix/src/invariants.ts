import type {Milliseconds} from '@gentianshunt/clock';

import {listEvents} from './trace.js';
import type {TraceEvent} from './trace.js';

/** Time for which slots granted before a request was shed may still be used. */
export const SLOT_LIFETIME_MS: Milliseconds = 2_000;
/** Time after the first leaving announcement in which work may still arrive. */
export const LEAVING_LIMIT_MS: Milliseconds = 3_000;
/** Time within which an accepted configuration must be in force. */
export const IN_FORCE_LIMIT_MS: Milliseconds = 8_000;

type Trace = readonly TraceEvent[];

/** Names of the invariants. */
export type InvariantName =
  /** A request is sent to an endpoint, and run there, at most once. */
  | 'dispatchedAtMostOnce'
  /** No request of a lower tier is served after one of a higher was shed. */
  | 'higherTierNotShedFirst'
  /** An answer with an end mark is complete and belongs to its request. */
  | 'wholeAnswerToOwnRequest'
  /** A request refused as not run did not run. */
  | 'notRunIsTrue'
  /** At most one request with a given idempotency key runs. */
  | 'nonIdempotentRunsAtMostOnce'
  /** A leaving endpoint gets no new request. */
  | 'leavingEndpointGetsNoWork'
  /** An entry that shuts down closes no open connection of a caller. */
  | 'shutdownCutsNothing'
  /** An accepted configuration comes into force in time and is not lost. */
  | 'configurationInForceAndKept';

/** An invariant and the check of a trace against it. */
export interface Invariant {
  readonly name: InvariantName;
  /** Describes each violation of the invariant in the trace. */
  readonly check: (trace: Trace) => readonly string[];
}

/** The invariants that are checked for every cell. */
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

function listDuplicates(names: readonly string[]): readonly string[] {
  const seen = new Set<string>();
  return names.filter(name => {
    const isDuplicate = seen.has(name);
    seen.add(name);
    return isDuplicate;
  });
}

function checkDispatches(trace: Trace): readonly string[] {
  const opened = listEvents(trace, 'opened').map(event => event.request);
  const ran = listEvents(trace, 'ran').map(event => event.request);
  return [...listDuplicates(opened), ...listDuplicates(ran)].map(
    request => `${request} was dispatched again`,
  );
}

/**
 * Finds requests of a lower tier that were already waiting when one of a higher
 * tier was shed, and were dispatched after all slots granted before then had
 * expired. A higher rank is a lower tier.
 */
function checkShedding(trace: Trace): readonly string[] {
  const accepted = new Map(
    listEvents(trace, 'accepted').map(event => [event.request, event]),
  );
  const opened = listEvents(trace, 'opened');
  return listEvents(trace, 'refused')
    .filter(refusal => refusal.reason === 'shed')
    .flatMap(refusal => {
      const shed = accepted.get(refusal.request)!;
      const servedLowerTier = opened.filter(({request, at}) => {
        const other = accepted.get(request)!;
        return (
          other.set === shed.set &&
          other.rank > shed.rank &&
          other.at <= refusal.at &&
          at > refusal.at + SLOT_LIFETIME_MS
        );
      });
      return servedLowerTier.map(
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
  return listDuplicates(keys).map(key => `key ${key} ran again`);
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
    .map(
      ({endpoint, request}) =>
        `${endpoint} was leaving and still ran ${request}`,
    );
}

function checkShutdown(trace: Trace): readonly string[] {
  return listEvents(trace, 'exited')
    .filter(({openCallers}) => openCallers > 0)
    .map(
      ({entry, openCallers}) =>
        `${entry} exited with ${openCallers} connections of callers open`,
    );
}

function checkConfiguration(trace: Trace): readonly string[] {
  return [
    ...listNumberClashes(trace),
    ...listReversions(trace),
    ...listLateEntries(trace),
  ];
}

/** Finds command numbers under which two different commands were accepted. */
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

/** Finds processes whose version decreased between two samples. */
function listReversions(trace: Trace): readonly string[] {
  const versions = new Map<string, number>();
  const reversions: string[] = [];
  for (const event of listEvents(trace, 'configuration')) {
    const before = versions.get(event.incarnation) ?? 0;
    if (event.version < before) {
      reversions.push(`${event.entry} went back to version ${event.version}`);
    }
    versions.set(event.incarnation, event.version);
  }
  return reversions;
}

/**
 * Finds processes that serve without an accepted change, after the time in
 * which it must come into force. A process must have the version and weight of
 * the latest such command, or a newer version whose weight an accepted command
 * set; any other weight shows that an accepted change was lost.
 */
function listLateEntries(trace: Trace): readonly string[] {
  const commands = listEvents(trace, 'commandAccepted');
  return listEvents(trace, 'configuration')
    .filter(event => event.isServing)
    .flatMap(event => {
      const dueCommands = commands.filter(
        command => event.at > command.at + IN_FORCE_LIMIT_MS,
      );
      const latest = dueCommands.reduce(
        (best, command) =>
          best === undefined || command.version > best.version ? command : best,
        undefined as (typeof dueCommands)[number] | undefined,
      );
      const isCurrent =
        latest === undefined ||
        event.version > latest.version ||
        (event.version === latest.version && event.weight === latest.weight);
      const hasUnknownWeight =
        latest !== undefined &&
        event.version > latest.version &&
        !commands.some(command => command.weight === event.weight);
      return isCurrent && !hasUnknownWeight
        ? []
        : [`${event.entry} serves version ${event.version} at ${event.at}`];
    });
}

/** One violation of an invariant. */
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
