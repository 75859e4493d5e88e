/** Counts the heartbeats of an entry by what came back for them. */
import type {Milliseconds} from '@gentianshunt/clock';
import {defineEntryController} from '@gentianshunt/entryModel';
import type {
  EntryController,
  HeartbeatAnswer,
  HeartbeatTotals,
  SentHeartbeat,
} from '@gentianshunt/entryModel';

/** An answer that takes longer counts as late. */
export const LATE_ANSWER_MS: Milliseconds = 500;

/** Creates the controller that counts heartbeats by their answers. */
export function createHeartbeatCountController(): EntryController {
  return defineEntryController<
    'control' | 'heartbeatTotals',
    'heartbeatTotals'
  >({
    name: 'heartbeatCounts',
    reads: ['control', 'heartbeatTotals'],
    writes: ['heartbeatTotals'],
    observes: [],
    run: ({board}) => {
      const {heartbeatTotals: before, control} = board;
      return before.counted === control.heartbeats
        ? []
        : [
            {
              kind: 'set',
              section: 'heartbeatTotals',
              value: addHeartbeats(before, control.heartbeats),
            },
          ];
    },
  });
}

function addHeartbeats(
  before: HeartbeatTotals,
  heartbeats: readonly SentHeartbeat[],
): HeartbeatTotals {
  const ended = listEnded(before.counted, heartbeats);
  const byAnswer = {...before.byAnswer};
  ended.forEach(({kind}) => {
    byAnswer[kind] += 1;
  });
  return {
    byAnswer,
    late: before.late + ended.filter(isLate).length,
    counted: heartbeats,
  };
}

/** Lists the answers that came since, and heartbeats that get none any more. */
function listEnded(
  before: readonly SentHeartbeat[],
  after: readonly SentHeartbeat[],
): readonly HeartbeatAnswer[] {
  const open = new Map(
    before
      .filter(({answer}) => answer.kind === 'none')
      .map(({sequence, answer}) => [sequence, answer]),
  );
  const known = new Set(before.map(({sequence}) => sequence));
  const answered = after.filter(
    ({sequence, answer}) =>
      answer.kind !== 'none' && (open.has(sequence) || !known.has(sequence)),
  );
  after.forEach(({sequence}) => open.delete(sequence));
  return [...answered.map(({answer}) => answer), ...open.values()];
}

function isLate(answer: HeartbeatAnswer): boolean {
  return answer.kind !== 'none' && answer.afterMs > LATE_ANSWER_MS;
}
