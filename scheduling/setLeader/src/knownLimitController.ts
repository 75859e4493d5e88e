import type {TurnTime, View} from '@gentianshunt/board';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryObservation,
  EntrySections,
  EntryWrite,
  ReportedLimit,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import {LIMIT_RETENTION_MS} from '@gentianshunt/policy';

/** Most limits that a set leader records. */
const MAX_KNOWN_LIMITS = 16_384;

type LimitReads = 'knownLimits';
type LimitView = View<EntrySections, LimitReads, EntryObservation>;
type LimitWrite = EntryWrite<LimitReads>;

/**
 * Creates the controller that records the limits which endpoints named in
 * answers to any entry. Reports may arrive before this entry knows that it
 * leads the set, so they are recorded in any case.
 */
export function createKnownLimitController(): EntryController {
  return defineEntryController<LimitReads, LimitReads>({
    name: 'knownLimits',
    reads: ['knownLimits'],
    writes: ['knownLimits'],
    observes: ['entryMessage', 'timerDue'],
    run: (view, now) => {
      const {observation} = view;
      if (
        observation?.kind === 'entryMessage' &&
        observation.message.kind === 'endpointLimitsReported'
      ) {
        const {set, limits} = observation.message;
        return limits.flatMap(limit => recordLimit(view, set, limit, now));
      }
      return observation?.kind === 'timerDue' &&
        observation.timer.kind === 'housekeeping'
        ? dropOldLimits(view, now)
        : [];
    },
  });
}

/** Records a limit unless a later answer was reported before. */
function recordLimit(
  {board: {knownLimits}}: LimitView,
  set: EndpointSetId,
  {endpoint, perSecond, rejectionsPerSecond, ageMs}: ReportedLimit,
  now: TurnTime,
): readonly LimitWrite[] {
  const known = knownLimits.get(endpoint);
  const namedAt = now.monotonic - ageMs;
  const isNews =
    known === undefined
      ? knownLimits.size < MAX_KNOWN_LIMITS
      : namedAt >= known.namedAt;
  const value = {set, perSecond, rejectionsPerSecond, namedAt};
  return isNews
    ? [{kind: 'put', section: 'knownLimits', key: endpoint, value}]
    : [];
}

function dropOldLimits(
  {board}: LimitView,
  now: TurnTime,
): readonly LimitWrite[] {
  return [...board.knownLimits]
    .filter(([, {namedAt}]) => now.monotonic - namedAt >= LIMIT_RETENTION_MS)
    .map(([key]) => ({kind: 'delete', section: 'knownLimits', key}));
}
