import {
  compareValues,
  defineCell,
  defineController,
  defineMap,
  defineOrdered,
} from '@gentianshunt/board';
import type {AnyController, Controller, Write} from '@gentianshunt/board';
import type {MonotonicTime} from '@gentianshunt/clock';
import type {
  ConfigurationChange,
  ConfigurationObject,
  ObjectKey,
} from '@gentianshunt/configuration';
import type {
  ClaimOutcome,
  CommandAnswer,
  CommandNumber,
  ConfigurationVersion,
  ConsensusMessage,
  EntryAddress,
  EntryDirectory,
  EntryToControl,
  LogEntry,
  LogIndex,
  LogPayload,
  OperatorCommand,
} from '@gentianshunt/messages';
import type {
  Identifier,
  NodeId,
  OperatorId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {ControlObservation} from './observation.js';
import type {ControlOrder} from './order.js';
import type {
  Ballot,
  ElectionTimer,
  FollowerProgress,
  LogStatus,
  Role,
} from './role.js';

/** What a control daemon knows of itself and its peers. */
export interface ControlIdentity {
  readonly node: NodeId;
  /** All voting members, this one included. */
  readonly members: readonly NodeId[];
  /** Seed of the election jitter. */
  readonly seed: number;
}

/** A message held back until the disk has synced a batch. */
export interface HeldMessage {
  readonly to: NodeId;
  readonly message: ConsensusMessage;
}

/** A batch on its way to the disk and what waits for it. */
export interface HeldBatch {
  readonly messages: readonly HeldMessage[];
  /** Last index of the log that the batch brings to the disk. */
  readonly lastIndex: LogIndex;
}

/** How far the committed log has been applied. */
export interface AppliedStatus {
  readonly index: LogIndex;
  readonly version: ConfigurationVersion;
}

/** A command number that has been used. */
export interface CommandRecord {
  readonly operator: OperatorId;
  readonly digest: string;
  readonly answer: CommandAnswer;
}

/** Key of a command number in its section. */
export type CommandKey = Identifier<'command'>;
/** Key of a claim in its section. */
export type ClaimId = Identifier<'claim'>;

/** A claim on an idempotency key. */
export interface ClaimRecord {
  readonly digest: string;
  readonly node: NodeId;
  readonly request: RequestId;
  readonly atMs: number;
  /** `null` while the request may be running. */
  readonly outcome: ClaimOutcome | null;
}

/** The leading daemon's record of an entry. */
export interface EntrySession {
  readonly entry: EntryAddress;
  readonly draining: boolean;
  readonly version: ConfigurationVersion;
  readonly directoryVersion: number;
  readonly leaseUntil: MonotonicTime;
}

/** A request of an entry that is answered once the log has applied it. */
export type PendingReply =
  | {
      readonly kind: 'command';
      readonly to: NodeId;
      readonly correlation: RequestId;
      readonly command: OperatorCommand;
    }
  | {
      readonly kind: 'claim';
      readonly to: NodeId;
      readonly claim: ClaimId;
      readonly request: Extract<
        EntryToControl,
        {readonly kind: 'claimRequest'}
      >;
    };

/** Key of a pending reply. */
export type PendingKey = Identifier<'pendingReply'>;

/** Creates the sections of a control daemon's board. */
export function createControlSections(identity: ControlIdentity) {
  return {
    identity: defineCell<ControlIdentity>(identity),
    ballot: defineCell<Ballot>({term: 0, votedFor: null}),
    role: defineCell<Role>({kind: 'follower', leader: null}),
    log: defineOrdered<LogIndex, LogEntry>(compareValues),
    logStatus: defineCell<LogStatus>({
      lastIndex: 0,
      lastTerm: 0,
      syncedIndex: 0,
      commitIndex: 0,
    }),
    progress: defineMap<NodeId, FollowerProgress>(),
    election: defineCell<ElectionTimer>({deadline: 0, attempts: 0}),
    persistSequence: defineCell<number>(0),
    held: defineOrdered<number, HeldBatch>(compareValues),
    proposals: defineCell<readonly LogPayload[]>([]),
    applied: defineCell<AppliedStatus>({index: 0, version: 0}),
    configuration: defineMap<ObjectKey, ConfigurationObject>(),
    history: defineOrdered<
      ConfigurationVersion,
      readonly ConfigurationChange[]
    >(compareValues),
    commands: defineMap<CommandKey, CommandRecord>(),
    nextCommand: defineCell<CommandNumber>(1),
    claims: defineMap<ClaimId, ClaimRecord>(),
    sessions: defineMap<NodeId, EntrySession>(),
    directory: defineCell<EntryDirectory>({version: 0, entries: []}),
    pending: defineMap<PendingKey, PendingReply>(),
  };
}

/** The sections of a control daemon's board. */
export type ControlSections = ReturnType<typeof createControlSections>;

/** A controller of a control daemon's board. */
export type ControlController = AnyController<
  ControlSections,
  ControlObservation,
  ControlOrder
>;

/** A write that a controller with the named sections may return. */
export type ControlWrite<Writes extends keyof ControlSections> = Write<
  ControlSections,
  Writes,
  ControlOrder
>;

/** Defines a controller of a control daemon's board. */
export function defineControlController<
  Reads extends keyof ControlSections,
  Writes extends keyof ControlSections,
>(
  controller: Controller<
    ControlSections,
    ControlObservation,
    ControlOrder,
    Reads,
    Writes
  > & {readonly observes: readonly ControlObservation['kind'][]},
): ControlController {
  return defineController<
    ControlSections,
    ControlObservation,
    ControlOrder,
    Reads,
    Writes
  >(controller);
}

/** Makes the key of a command number. */
export function formatCommandKey(number: CommandNumber): CommandKey {
  return String(number) as CommandKey;
}
