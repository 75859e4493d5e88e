/** Explains whether and why an entry had no lease at a time. */
import type {Milliseconds} from '@gentianshunt/clock';

import type {TimelineLine} from './createExplanation.js';
import {findLeaseCause} from './leaseCause.js';
import type {LeaseCause} from './leaseCause.js';
import {listLeaseLapses} from './leaseLapses.js';
import type {LogLine} from './logLine.js';
import {findDaemon, readNodeNames} from './nodeNames.js';

/** Time before and after the one in question that the timeline includes. */
const TIMELINE_MS: Milliseconds = 2_000;

/** Events of an entry that concern its lease. */
const ENTRY_EVENTS: ReadonlySet<string> = new Set([
  'configurationApplied',
  'controlLeaderChanged',
  'daemonReady',
  'daemonStopped',
  'leaseLost',
  'leaseMissing',
  'leaseRegained',
  'loopDelayed',
  'peerLinkFailed',
]);

/** Events of the control group that concern the leases of all entries. */
const GROUP_EVENTS: ReadonlySet<string> = new Set([
  'copiesComplete',
  'copiesMissing',
  'joinWaiting',
  'leaderConfirmed',
  'leaderMissing',
  'leaderUnconfirmed',
  'membersRepeating',
  'readsConfirmed',
  'roleChanged',
]);

/** Whether an entry had a lease at a time. */
export type LeaseState =
  | {readonly kind: 'held'}
  | {
      readonly kind: 'missing';
      readonly from: Date;
      /** `null` if the logs do not show its end. */
      readonly until: Date | null;
      readonly cause: LeaseCause;
    };

/** What the logs show of an entry's lease at a time. */
export interface LeaseExplanation {
  readonly entry: string;
  readonly at: Date;
  readonly state: LeaseState;
  readonly timeline: readonly TimelineLine[];
}

/**
 * Explains whether and why an entry, named by its daemon or its node, had no
 * lease at a time. Returns `undefined` if no line tells of its lease.
 */
export function createLeaseExplanation(options: {
  readonly lines: readonly LogLine[];
  readonly entry: string;
  readonly at: Date;
}): LeaseExplanation | undefined {
  const {lines, at} = options;
  const names = readNodeNames(lines);
  const entry = findDaemon(names, options.entry);
  const own = lines.filter(({daemon}) => daemon === entry);
  if (!own.some(({event}) => event.startsWith('lease'))) {
    return undefined;
  }
  const lapse = listLeaseLapses(own).find(
    ({from, until}) => from <= at && (until === null || at < until),
  );
  const state: LeaseState =
    lapse === undefined
      ? {kind: 'held'}
      : {
          kind: 'missing',
          from: lapse.from,
          until: lapse.until,
          cause: findLeaseCause({lines, names}, lapse, at),
        };
  return {entry, at, state, timeline: listTimeline(lines, entry, at)};
}

function listTimeline(
  lines: readonly LogLine[],
  entry: string,
  at: Date,
): readonly TimelineLine[] {
  return lines.flatMap((line): readonly TimelineLine[] => {
    const offsetMs = line.at.getTime() - at.getTime();
    const relation = findRelation(line, entry);
    return relation === undefined || Math.abs(offsetMs) > TIMELINE_MS
      ? []
      : [{offsetMs, relation, line}];
  });
}

function findRelation(
  {daemon, event}: LogLine,
  entry: string,
): TimelineLine['relation'] | undefined {
  if (daemon === entry && ENTRY_EVENTS.has(event)) {
    return 'entry';
  }
  return GROUP_EVENTS.has(event) ? 'control' : undefined;
}
