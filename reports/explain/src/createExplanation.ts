import type {Milliseconds} from '@gentianshunt/clock';

import {findCause, listEndpoints} from './failureCause.js';
import type {FailureCause} from './failureCause.js';
import {readText} from './logLine.js';
import type {LogLine} from './logLine.js';

/** How long before its first line what an entry came to believe matters. */
const LEAD_MS: Milliseconds = 2_000;

/** Events that tell what a daemon believes, whichever request it concerns. */
const STANDING_EVENTS: ReadonlySet<string> = new Set([
  'controlLeaderChanged',
  'daemonReady',
  'daemonStopped',
  'daemonStopping',
  'endpointsLearnt',
  'leaseLost',
  'leaseRegained',
  'linesDropped',
  'peerLinkFailed',
  'serviceChanged',
]);

/** A line of a timeline, and why it stands there. */
export interface TimelineLine {
  /** Since the first line of the request; negative before it. */
  readonly offsetMs: Milliseconds;
  readonly relation: 'request' | 'entry' | 'set' | 'endpoint';
  readonly line: LogLine;
}

/** What the logs tell of a request. */
export interface Explanation {
  readonly request: string;
  readonly cause: FailureCause;
  readonly timeline: readonly TimelineLine[];
}

/**
 * Joins the lines of a request with those that tell, at that time, of its
 * entry, its endpoint set and its endpoints. `undefined` when the logs do not
 * know the request.
 */
export function createExplanation(options: {
  readonly lines: readonly LogLine[];
  readonly request: string;
}): Explanation | undefined {
  const {lines, request} = options;
  const own = lines.filter(line => readText(line, 'request') === request);
  const first = own[0];
  if (first === undefined) {
    return undefined;
  }
  const facts = readFacts(own);
  const from = first.at.getTime() - LEAD_MS;
  const until = own[own.length - 1]!.at.getTime();
  const timeline = lines.flatMap((line): readonly TimelineLine[] => {
    const at = line.at.getTime();
    const relation =
      at < from || at > until ? undefined : findRelation(line, request, facts);
    const offsetMs = at - first.at.getTime();
    return relation === undefined ? [] : [{offsetMs, relation, line}];
  });
  return {request, cause: findCause(own), timeline};
}

/** What a request's own lines name. */
interface RequestNames {
  readonly daemons: ReadonlySet<string>;
  readonly sets: ReadonlySet<string>;
  readonly endpoints: ReadonlySet<string>;
}

function readFacts(own: readonly LogLine[]): RequestNames {
  return {
    daemons: new Set(own.map(({daemon}) => daemon)),
    sets: new Set(own.flatMap(line => readText(line, 'set') ?? [])),
    endpoints: new Set(listEndpoints(own)),
  };
}

function findRelation(
  line: LogLine,
  request: string,
  names: RequestNames,
): TimelineLine['relation'] | undefined {
  const other = readText(line, 'request');
  if (other !== undefined) {
    return other === request ? 'request' : undefined;
  }
  if (names.endpoints.has(readText(line, 'endpoint') ?? '')) {
    return 'endpoint';
  }
  if (line.event === 'setLeaderChanged' || line.event === 'endpointChanged') {
    return names.sets.has(readText(line, 'set') ?? '') ? 'set' : undefined;
  }
  return names.daemons.has(line.daemon) && STANDING_EVENTS.has(line.event)
    ? 'entry'
    : undefined;
}
