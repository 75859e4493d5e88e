import type {Milliseconds} from '@gentianshunt/clock';

import {findCause, listEndpoints} from './failureCause.js';
import type {FailureCause} from './failureCause.js';
import {readText} from './logLine.js';
import type {LogLine} from './logLine.js';

/**
 * Time before the first line of a request that its timeline includes, because
 * earlier state changes of the daemons and endpoints may explain its end.
 */
const LOOKBACK_MS: Milliseconds = 2_000;

/** Events about the state of a daemon, which affect all its requests. */
const DAEMON_EVENTS: ReadonlySet<string> = new Set([
  'controlLeaderChanged',
  'daemonReady',
  'daemonStopped',
  'daemonStopping',
  'endpointsLearnt',
  'leaseLost',
  'leaseMissing',
  'leaseRegained',
  'linesDropped',
  'peerLinkFailed',
  'serviceChanged',
]);

/** A line of a timeline, and what it is about. */
export interface TimelineLine {
  /** Time since the first line of the request, or since the time asked for. */
  readonly offsetMs: Milliseconds;
  readonly relation: 'request' | 'entry' | 'set' | 'endpoint' | 'control';
  readonly line: LogLine;
}

/** The cause of a request's end, with the log lines that led to it. */
export interface Explanation {
  readonly request: string;
  readonly cause: FailureCause;
  readonly timeline: readonly TimelineLine[];
}

/**
 * Creates a timeline of the lines of a request and the lines of the same time
 * about its entry, endpoint set and endpoints. Returns `undefined` if no line
 * mentions the request.
 */
export function createExplanation(options: {
  readonly lines: readonly LogLine[];
  readonly request: string;
}): Explanation | undefined {
  const {lines, request} = options;
  const ownLines = lines.filter(line => readText(line, 'request') === request);
  const first = ownLines[0];
  if (first === undefined) {
    return undefined;
  }
  const names = readNames(ownLines);
  const from = first.at.getTime() - LOOKBACK_MS;
  const until = ownLines[ownLines.length - 1]!.at.getTime();
  const timeline = lines.flatMap((line): readonly TimelineLine[] => {
    const at = line.at.getTime();
    const relation =
      at < from || at > until ? undefined : findRelation(line, request, names);
    const offsetMs = at - first.at.getTime();
    return relation === undefined ? [] : [{offsetMs, relation, line}];
  });
  return {request, cause: findCause(ownLines), timeline};
}

/** The daemons, sets and endpoints that the lines of a request name. */
interface RequestNames {
  readonly daemons: ReadonlySet<string>;
  readonly sets: ReadonlySet<string>;
  readonly endpoints: ReadonlySet<string>;
}

function readNames(ownLines: readonly LogLine[]): RequestNames {
  return {
    daemons: new Set(ownLines.map(({daemon}) => daemon)),
    sets: new Set(ownLines.flatMap(line => readText(line, 'set') ?? [])),
    endpoints: new Set(listEndpoints(ownLines)),
  };
}

function findRelation(
  line: LogLine,
  request: string,
  names: RequestNames,
): TimelineLine['relation'] | undefined {
  const lineRequest = readText(line, 'request');
  if (lineRequest !== undefined) {
    return lineRequest === request ? 'request' : undefined;
  }
  if (names.endpoints.has(readText(line, 'endpoint') ?? '')) {
    return 'endpoint';
  }
  if (line.event === 'setLeaderChanged' || line.event === 'endpointChanged') {
    return names.sets.has(readText(line, 'set') ?? '') ? 'set' : undefined;
  }
  return names.daemons.has(line.daemon) && DAEMON_EVENTS.has(line.event)
    ? 'entry'
    : undefined;
}
