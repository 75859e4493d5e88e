import {
  compareValues,
  createMapDraft,
  createOrderedDraft,
} from '@gentianshunt/board';
import type {MapDraft, OrderedDraft} from '@gentianshunt/board';
import type {ConfigurationChange} from '@gentianshunt/configuration';
import {
  compareClaimExpiry,
  compareCountMarks,
  compareRecentCounts,
  compareRunningClaims,
  compareServiceCounts,
} from '@gentianshunt/controlModel';
import type {
  AppliedStatus,
  ChangeUsage,
  ClaimExpiryKey,
  ClaimId,
  ClaimRecord,
  ClaimUsage,
  CommandRecord,
  CountMark,
  CountMarkKey,
  RunningClaimKey,
} from '@gentianshunt/controlModel';
import type {
  CommandNumber,
  ConfigurationSource,
  ConfigurationVersion,
  RecentCountKey,
  ServiceCountKey,
  ServiceTotals,
} from '@gentianshunt/messages';
import type {TokenBucket} from '@gentianshunt/orders';

import {createConfigurationDraft} from './configurationDraft.js';
import type {ConfigurationDraft} from './configurationDraft.js';
import type {StateView, StateWrite} from './stateSections.js';

/**
 * The applied state with the changes of the current turn. Each log entry sees
 * the effects of the entries before it.
 */
export interface StateDraft {
  applied: AppliedStatus;
  nextCommand: CommandNumber;
  commandFloor: CommandNumber;
  changeUsage: ChangeUsage;
  changeBytes: ChangeUsage;
  claimUsage: ClaimUsage;
  weightStore: TokenBucket;
  source: ConfigurationSource;
  readonly configuration: ConfigurationDraft;
  readonly history: OrderedDraft<
    ConfigurationVersion,
    readonly ConfigurationChange[]
  >;
  readonly commands: OrderedDraft<CommandNumber, CommandRecord>;
  readonly claims: MapDraft<ClaimId, ClaimRecord>;
  readonly claimExpiry: OrderedDraft<ClaimExpiryKey, true>;
  readonly runningClaims: OrderedDraft<RunningClaimKey, true>;
  readonly serviceCounts: OrderedDraft<ServiceCountKey, ServiceTotals>;
  readonly recentCounts: OrderedDraft<RecentCountKey, ServiceTotals>;
  readonly countMarks: OrderedDraft<CountMarkKey, CountMark>;
}

/** Creates a draft without changes. */
export function createStateDraft(board: StateView['board']): StateDraft {
  return {
    applied: board.applied,
    nextCommand: board.nextCommand,
    commandFloor: board.commandFloor,
    changeUsage: board.changeUsage,
    changeBytes: board.changeBytes,
    claimUsage: board.claimUsage,
    weightStore: board.weightStore,
    source: board.source,
    configuration: createConfigurationDraft(board),
    history: createOrderedDraft({view: board.history, compare: compareValues}),
    commands: createOrderedDraft({
      view: board.commands,
      compare: compareValues,
    }),
    claims: createMapDraft(board.claims),
    claimExpiry: createOrderedDraft({
      view: board.claimExpiry,
      compare: compareClaimExpiry,
    }),
    runningClaims: createOrderedDraft({
      view: board.runningClaims,
      compare: compareRunningClaims,
    }),
    serviceCounts: createOrderedDraft({
      view: board.serviceCounts,
      compare: compareServiceCounts,
    }),
    recentCounts: createOrderedDraft({
      view: board.recentCounts,
      compare: compareRecentCounts,
    }),
    countMarks: createOrderedDraft({
      view: board.countMarks,
      compare: compareCountMarks,
    }),
  };
}

/** Lists the writes that put a draft's changes on the board. */
export function listStateWrites(
  draft: StateDraft,
  board: StateView['board'],
): readonly StateWrite[] {
  return [
    ...draft.configuration.listWrites(),
    ...draft.history.listWrites('history' as const),
    ...draft.commands.listWrites('commands' as const),
    ...draft.claims.listWrites('claims' as const),
    ...draft.claimExpiry.listWrites('claimExpiry' as const),
    ...draft.runningClaims.listWrites('runningClaims' as const),
    ...draft.serviceCounts.listWrites('serviceCounts' as const),
    ...draft.recentCounts.listWrites('recentCounts' as const),
    ...draft.countMarks.listWrites('countMarks' as const),
    ...listCellWrites(draft, board),
  ];
}

function listCellWrites(
  draft: StateDraft,
  board: StateView['board'],
): readonly StateWrite[] {
  const {nextCommand, commandFloor, claimUsage, weightStore, applied} = draft;
  const writes: StateWrite[] = [];
  if (nextCommand !== board.nextCommand) {
    writes.push({kind: 'set', section: 'nextCommand', value: nextCommand});
  }
  if (commandFloor !== board.commandFloor) {
    writes.push({kind: 'set', section: 'commandFloor', value: commandFloor});
  }
  if (draft.changeUsage !== board.changeUsage) {
    const value = draft.changeUsage;
    writes.push({kind: 'set', section: 'changeUsage', value});
  }
  if (draft.changeBytes !== board.changeBytes) {
    const value = draft.changeBytes;
    writes.push({kind: 'set', section: 'changeBytes', value});
  }
  if (claimUsage !== board.claimUsage) {
    writes.push({kind: 'set', section: 'claimUsage', value: claimUsage});
  }
  if (draft.source !== board.source) {
    writes.push({kind: 'set', section: 'source', value: draft.source});
  }
  if (weightStore !== board.weightStore) {
    writes.push({kind: 'set', section: 'weightStore', value: weightStore});
  }
  writes.push({kind: 'set', section: 'applied', value: applied});
  return writes;
}
