import {compareBy} from '@gentianshunt/board';
import type {ObjectKey, ObjectKind} from '@gentianshunt/configuration';
import type {
  ClaimOutcome,
  CommandAnswer,
  ConfigurationVersion,
  LogIndex,
  RecentCountKey,
  ServiceCountKey,
} from '@gentianshunt/messages';
import type {
  Identifier,
  IncarnationId,
  NodeId,
  OperatorId,
  RequestId,
} from '@gentianshunt/identifiers';

/** The last applied log index and the configuration version after it. */
export interface AppliedStatus {
  readonly index: LogIndex;
  readonly version: ConfigurationVersion;
}

/** The command that used a command number, and its answer. */
export interface CommandRecord {
  readonly operator: OperatorId;
  /** The digest of the command's content. */
  readonly digest: string;
  readonly answer: CommandAnswer;
}

/** Identifies a claim by organisation and idempotency key. */
export type ClaimId = Identifier<'claim'>;

/** A claim on an idempotency key. */
export interface ClaimRecord {
  /** The digest of the request's content. */
  readonly digest: string;
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  readonly request: RequestId;
  readonly atMs: number;
  /** `null` while the request may be running. */
  readonly outcome: ClaimOutcome | null;
  /** When a completed claim is removed; `null` for a running claim. */
  readonly expiresAtMs: number | null;
}

/** Sorts completed claims by the time at which they expire. */
export interface ClaimExpiryKey {
  readonly expiresAtMs: number;
  readonly claim: ClaimId;
}

/** Sorts running claims by entry, to find those that an entry holds. */
export interface RunningClaimKey {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  readonly claim: ClaimId;
}

/** The number of claims and the size of the answers kept with them. */
export interface ClaimUsage {
  readonly claims: number;
  readonly answerBytes: number;
}

/** The changes kept in the history and in command answers. */
export interface ChangeUsage {
  readonly history: number;
  readonly commands: number;
}

/** Sorts references by target, to find the objects that refer to one. */
export interface ReferenceKey {
  readonly to: ObjectKey;
  readonly from: ObjectKey;
}

/** Sorts objects by kind, to find all objects of one kind. */
export interface KindKey {
  readonly kind: ObjectKind;
  readonly object: ObjectKey;
}

/** Identifies the sender of count reports. */
export interface CountMarkKey {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
}

/** The latest count report of a sender that was added to the totals. */
export interface CountMark {
  readonly sequence: number;
  readonly atMs: number;
}

/** Compares claims by expiry time. */
export const compareClaimExpiry = compareBy<
  keyof ClaimExpiryKey,
  ClaimExpiryKey
>('expiresAtMs', 'claim');
/** Compares running claims by entry and incarnation. */
export const compareRunningClaims = compareBy<
  keyof RunningClaimKey,
  RunningClaimKey
>('node', 'incarnation', 'claim');
/** Compares references by the object referred to. */
export const compareReferences = compareBy<keyof ReferenceKey, ReferenceKey>(
  'to',
  'from',
);
/** Compares objects by kind. */
export const compareKinds = compareBy<keyof KindKey, KindKey>('kind', 'object');
/** Compares service counts by month first. */
export const compareServiceCounts = compareBy<
  keyof ServiceCountKey,
  ServiceCountKey
>('month', 'tier', 'organisation', 'kind');
/** Compares recent counts by period first. */
export const compareRecentCounts = compareBy<
  keyof RecentCountKey,
  RecentCountKey
>('startMs', 'tier', 'organisation', 'kind');
/** Compares count marks by entry. */
export const compareCountMarks = compareBy<keyof CountMarkKey, CountMarkKey>(
  'node',
  'incarnation',
);
