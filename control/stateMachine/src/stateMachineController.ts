import type {View} from '@gentianshunt/board';
import {applyBatch, formatObjectKey} from '@gentianshunt/configuration';
import type {
  BatchResult,
  ConfigurationChange,
  ConfigurationObject,
  ObjectKey,
} from '@gentianshunt/configuration';
import {
  defineControlController,
  formatClaimId,
  formatCommandKey,
} from '@gentianshunt/controlModel';
import type {
  AppliedStatus,
  ClaimId,
  ClaimRecord,
  CommandKey,
  CommandRecord,
  ControlController,
  ControlObservation,
  ControlSections,
  ControlWrite,
} from '@gentianshunt/controlModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  CommandNumber,
  LogEntry,
  LogPayload,
  OperatorCommand,
} from '@gentianshunt/messages';

type StateReads =
  | 'log'
  | 'logStatus'
  | 'applied'
  | 'configuration'
  | 'history'
  | 'commands'
  | 'nextCommand'
  | 'claims';
type StateWrites =
  | 'applied'
  | 'configuration'
  | 'history'
  | 'commands'
  | 'nextCommand'
  | 'claims';
type StateView = View<ControlSections, StateReads, ControlObservation>;
type StateWrite = ControlWrite<StateWrites>;

/** Most configuration changes kept for entries that lag behind. */
export const MAX_HISTORY_LENGTH = 10_000;

/** Creates the controller that applies the committed log. */
export function createStateMachineController(): ControlController {
  return defineControlController<StateReads, StateWrites>({
    name: 'stateMachine',
    reads: [
      'log',
      'logStatus',
      'applied',
      'configuration',
      'history',
      'commands',
      'nextCommand',
      'claims',
    ],
    writes: [
      'applied',
      'configuration',
      'history',
      'commands',
      'nextCommand',
      'claims',
    ],
    observes: [],
    run: view => {
      const {logStatus, applied, log} = view.board;
      if (applied.index >= logStatus.commitIndex) {
        return [];
      }
      const draft = createStateDraft(view);
      for (
        let index = applied.index + 1;
        index <= logStatus.commitIndex;
        index += 1
      ) {
        applyEntry(draft, log.get(index)!);
      }
      return draft.listWrites();
    },
  });
}

/** Reads and writes of one run; later entries see earlier ones. */
interface StateDraft {
  readonly configuration: Map<ObjectKey, ConfigurationObject>;
  readCommand(key: CommandKey): CommandRecord | undefined;
  readNextCommand(): CommandNumber;
  setCommand(number: CommandNumber, record: CommandRecord): void;
  readClaim(id: ClaimId): ClaimRecord | undefined;
  setClaim(id: ClaimId, record: ClaimRecord | null): void;
  change(entry: LogEntry, changes: readonly ConfigurationChange[]): void;
  finish(entry: LogEntry): void;
  listWrites(): readonly StateWrite[];
}

function createStateDraft(view: StateView): StateDraft {
  const {board} = view;
  const writes: StateWrite[] = [];
  const configuration = new Map(board.configuration);
  const commands = new Map<CommandKey, CommandRecord>();
  const claims = new Map<ClaimId, ClaimRecord | null>();
  let nextCommand = board.nextCommand;
  let applied: AppliedStatus = board.applied;
  return {
    configuration,
    readCommand: key => commands.get(key) ?? board.commands.get(key),
    readNextCommand: () => nextCommand,
    setCommand: (number, record) => {
      const key = formatCommandKey(number);
      commands.set(key, record);
      writes.push({kind: 'put', section: 'commands', key, value: record});
      nextCommand = Math.max(nextCommand, number + 1);
      writes.push({kind: 'set', section: 'nextCommand', value: nextCommand});
    },
    readClaim: id => {
      const drafted = claims.get(id);
      return drafted === undefined
        ? board.claims.get(id)
        : (drafted ?? undefined);
    },
    setClaim: (id, record) => {
      claims.set(id, record);
      writes.push(
        record === null
          ? {kind: 'delete', section: 'claims', key: id}
          : {kind: 'put', section: 'claims', key: id, value: record},
      );
    },
    change: (entry, changes) => {
      applied = {index: entry.index, version: entry.index};
      const key = entry.index;
      writes.push({kind: 'put', section: 'history', key, value: changes});
      for (const change of changes) {
        applyChange(configuration, change);
        writes.push(toTableWrite(change));
      }
    },
    finish: entry => {
      applied = {...applied, index: entry.index};
    },
    listWrites: () =>
      applied === board.applied
        ? writes
        : [...writes, {kind: 'set', section: 'applied', value: applied}],
  };
}

function applyChange(
  configuration: Map<ObjectKey, ConfigurationObject>,
  change: ConfigurationChange,
): void {
  switch (change.kind) {
    case 'put': {
      const {kind, id} = change.object;
      configuration.set(formatObjectKey(kind, id), change.object);
      return;
    }
    case 'delete':
      configuration.delete(change.key);
      return;
    default:
      assertNever(change, 'applyChange');
  }
}

function toTableWrite(change: ConfigurationChange): StateWrite {
  switch (change.kind) {
    case 'put': {
      const {kind, id} = change.object;
      return {
        kind: 'put',
        section: 'configuration',
        key: formatObjectKey(kind, id),
        value: change.object,
      };
    }
    case 'delete':
      return {kind: 'delete', section: 'configuration', key: change.key};
    default:
      return assertNever(change, 'toTableWrite');
  }
}

function applyEntry(draft: StateDraft, entry: LogEntry): void {
  applyPayload(draft, entry, entry.payload);
  draft.finish(entry);
}

function applyPayload(
  draft: StateDraft,
  entry: LogEntry,
  payload: LogPayload,
): void {
  switch (payload.kind) {
    case 'noop':
      return;
    case 'command':
      applyCommand(draft, entry, payload.command);
      return;
    case 'assignSetLeader':
      assignSetLeader(draft, entry, payload);
      return;
    case 'claim':
      applyClaim(draft, payload);
      return;
    case 'settleClaim':
      applySettlement(draft, payload);
      return;
    default:
      assertNever(payload, 'applyPayload');
  }
}

/** A number names one command; the first to be committed wins. */
function applyCommand(
  draft: StateDraft,
  entry: LogEntry,
  command: OperatorCommand,
): void {
  const key = formatCommandKey(command.number);
  if (draft.readCommand(key) !== undefined) {
    return;
  }
  const result: BatchResult = applyBatch(draft.configuration, command.commands);
  if (result.kind === 'accepted') {
    draft.change(entry, result.changes);
  }
  draft.setCommand(command.number, {
    operator: command.operator,
    digest: command.digest,
    answer: {
      kind: 'applied',
      number: command.number,
      version: entry.index,
      result,
    },
  });
}

function assignSetLeader(
  draft: StateDraft,
  entry: LogEntry,
  payload: Extract<LogPayload, {readonly kind: 'assignSetLeader'}>,
): void {
  if (!draft.configuration.has(formatObjectKey('endpointSet', payload.set))) {
    return;
  }
  const key = formatObjectKey('setLeadership', payload.set);
  const current = draft.configuration.get(key);
  const epoch = current?.kind === 'setLeadership' ? current.epoch + 1 : 1;
  draft.change(entry, [
    {
      kind: 'put',
      object: {
        kind: 'setLeadership',
        id: payload.set,
        revision: epoch,
        node: payload.node,
        epoch,
      },
    },
  ]);
}

function applyClaim(
  draft: StateDraft,
  payload: Extract<LogPayload, {readonly kind: 'claim'}>,
): void {
  const id = formatClaimId(payload.key);
  if (draft.readClaim(id) !== undefined) {
    return;
  }
  const {digest, node, request, atMs} = payload;
  draft.setClaim(id, {digest, node, request, atMs, outcome: null});
}

function applySettlement(
  draft: StateDraft,
  payload: Extract<LogPayload, {readonly kind: 'settleClaim'}>,
): void {
  const id = formatClaimId(payload.key);
  const claim = draft.readClaim(id);
  if (claim === undefined || claim.request !== payload.request) {
    return;
  }
  // What was not run may be claimed again.
  draft.setClaim(
    id,
    payload.outcome.kind === 'notRun'
      ? null
      : {...claim, outcome: payload.outcome},
  );
}
