import type {TurnTime} from '@gentianshunt/board';
import {findObject} from '@gentianshunt/configuration';
import {iterateRunning} from '@gentianshunt/entryModel';
import type {AdmittedRequest, EntryEffect} from '@gentianshunt/entryModel';
import type {NodeId} from '@gentianshunt/identifiers';

import type {LifecycleView} from './requestDraft.js';

/** Creates the log record of why a request is shed and who decided it. */
export function describeShed(
  {board}: LifecycleView,
  request: AdmittedRequest,
  decidedBy: NodeId,
  now: TurnTime,
): EntryEffect {
  const {id, set, rank, organisation, arrivedAt, routePolicy} = request;
  const leadership = findObject(board.configuration, 'setLeadership', set);
  const running = Array.from(
    iterateRunning(board.running, set),
    ({value}) => value.count,
  );
  return {
    kind: 'logDecision',
    decision: {
      kind: 'requestShed',
      request: id,
      set,
      rank,
      decidedBy,
      waitedMs: now.monotonic - arrivedAt,
      patienceMs: routePolicy?.patienceMs ?? null,
      waitingHere: board.queues.get({set, rank, organisation})?.count ?? 0,
      runningHere: running.reduce((sum, count) => sum + count, 0),
      epoch: leadership?.epoch ?? null,
    },
  };
}
