import {defineControlController} from '@gentianshunt/controlModel';
import type {ControlController} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {LogEntry} from '@gentianshunt/messages';

import {
  applyClaim,
  applyClaimCompletion,
  applyClaimExpiry,
  applyLoseClaims,
} from './applyClaim.js';
import {applyCommand, assignSetLeader} from './applyCommand.js';
import {applyCountReport} from './applyCounts.js';
import {applyEndOrder, applyIssueOrder} from './applyOrder.js';
import {applyReplacement} from './applyReplacement.js';
import {createStateDraft, listStateWrites} from './stateDraft.js';
import type {StateDraft} from './stateDraft.js';
import {STATE_SECTIONS} from './stateSections.js';
import type {StateReads, StateWrites} from './stateSections.js';
import {listRestoreWrites} from './stateSnapshot.js';

/**
 * Creates the controller that applies committed log entries to the state. A
 * snapshot that is ahead of the state replaces it.
 */
export function createStateMachineController(): ControlController {
  return defineControlController<StateReads | 'snapshot', StateWrites>({
    name: 'stateMachine',
    reads: ['snapshot', 'log', 'logStatus', ...STATE_SECTIONS],
    writes: STATE_SECTIONS,
    observes: [],
    run: ({board}) => {
      const {logStatus, applied, log, snapshot} = board;
      if (snapshot !== null && snapshot.index > applied.index) {
        return listRestoreWrites(board, snapshot);
      }
      if (applied.index >= logStatus.commitIndex) {
        return [];
      }
      const draft = createStateDraft(board);
      for (
        let index = applied.index + 1;
        index <= logStatus.commitIndex;
        index += 1
      ) {
        applyEntry(draft, log.get(index)!);
      }
      return listStateWrites(draft, board);
    },
  });
}

/** Applies one log entry. Equal logs must give equal states on all daemons. */
export function applyEntry(draft: StateDraft, entry: LogEntry): void {
  applyPayload(draft, entry);
  draft.applied = {...draft.applied, index: entry.index};
}

function applyPayload(draft: StateDraft, entry: LogEntry): void {
  const {payload} = entry;
  switch (payload.kind) {
    case 'noop':
    case 'membership':
      return;
    case 'command':
      applyCommand(draft, entry, payload);
      return;
    case 'replaceConfiguration':
      applyReplacement(draft, entry, payload);
      return;
    case 'assignSetLeader':
      assignSetLeader(draft, entry, payload);
      return;
    case 'claim':
      applyClaim(draft, payload);
      return;
    case 'settleClaim':
      applyClaimCompletion(draft, payload);
      return;
    case 'loseClaims':
      applyLoseClaims(draft, payload);
      return;
    case 'expireClaims':
      applyClaimExpiry(draft, payload.atMs);
      return;
    case 'issueOrder':
      applyIssueOrder(draft, entry, payload);
      return;
    case 'endOrder':
      applyEndOrder(draft, entry, payload);
      return;
    case 'countReport':
      applyCountReport(draft, payload);
      return;
    default:
      assertNever(payload, 'applyPayload');
  }
}
