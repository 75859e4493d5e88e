import type {BoardView, TurnTime} from '@gentianshunt/board';
import type {Milliseconds} from '@gentianshunt/clock';
import {iterateWaiting} from '@gentianshunt/entryModel';
import type {
  EntrySections,
  LineKey,
  ReportedRate,
  ReportedTrouble,
  WaitingLine,
} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import {ageTrouble, UNREACHABLE_MS} from '@gentianshunt/policy';

import {listCandidates} from './lineOrder.js';
import type {LineSections} from './lineOrder.js';

/** Lists how fast the endpoints of a set decode, as seen here. */
export function listRates(
  board: LineSections,
  set: EndpointSetId,
  now: TurnTime,
): readonly ReportedRate[] {
  return [...board.endpointRates.values()]
    .filter(rate => rate.set === set)
    .map(({endpoint, decodeMsPerToken, observedAt}) => ({
      endpoint,
      decodeMsPerToken,
      ageMs: now.monotonic - observedAt,
    }));
}

/** Troubles below this share are not worth telling. */
const MIN_TOLD_SHARE = 0.1;

/** Lists what went wrong at the endpoints of a set lately. */
export function listTroubles(
  board: Pick<BoardView<EntrySections>, 'endpointHealth'>,
  set: EndpointSetId,
  now: TurnTime,
): readonly ReportedTrouble[] {
  const troubles: ReportedTrouble[] = [];
  for (const health of board.endpointHealth.values()) {
    const {endpoint, observedAt, unreachableAt} = health;
    const ageMs = now.monotonic - observedAt;
    const failureShare = ageTrouble(health.failureShare, ageMs);
    const isUnreachable = now.monotonic - unreachableAt < UNREACHABLE_MS;
    if (
      health.set === set &&
      (isUnreachable || failureShare >= MIN_TOLD_SHARE)
    ) {
      troubles.push({endpoint, failureShare, isUnreachable});
    }
  }
  return troubles;
}

/** Describes the requests of a line to the set leader. */
export function describeLine(
  board: LineSections,
  key: LineKey,
  count: number,
  now: TurnTime,
): WaitingLine {
  const candidates = listCandidates(board, key, now);
  const next = candidates[0];
  const ready = candidates.filter(candidate => candidate.ready).length;
  const early = candidates.filter(candidate => candidate.readyEarly).length;
  return {
    rank: key.rank,
    organisation: key.organisation,
    count,
    // Requests beyond those weighed are taken to be like them.
    ready: ready < candidates.length ? ready : Math.max(ready, count),
    readyEarly: early < candidates.length ? early : Math.max(early, count),
    costMs: next?.costMs ?? 0,
    score: next?.score ?? 0,
    expected: 0,
    oldestWaitMs: readOldestWait(board, key, now),
  };
}

function readOldestWait(
  board: LineSections,
  line: LineKey,
  now: TurnTime,
): Milliseconds {
  const oldest = iterateWaiting(board.waiting, line).next();
  return oldest.done === true ? 0 : now.monotonic - oldest.value.key.arrivedAt;
}
