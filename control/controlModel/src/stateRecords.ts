import {compareBy} from '@gentianshunt/board';
import type {ObjectKey, ObjectKind} from '@gentianshunt/configuration';
import type {
  ClaimOutcome,
  CommandAnswer,
  ConfigurationVersion,
  LogIndex,
  ServiceCountKey,
} from '@gentianshunt/messages';
import type {
  Identifier,
  IncarnationId,
  NodeId,
  OperatorId,
  RequestId,
} from '@gentianshunt/identifiers';

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

/** Key of a claim in its section. */
export type ClaimId = Identifier<'claim'>;

/** A claim on an idempotency key. */
export interface ClaimRecord {
  readonly digest: string;
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  readonly request: RequestId;
  readonly atMs: number;
  /** `null` while the request may be running. */
  readonly outcome: ClaimOutcome | null;
  /** When a settled claim may be forgotten; `null` keeps it. */
  readonly expiresAtMs: number | null;
}

/** Orders the claims by the time at which they may be forgotten. */
export interface ClaimExpiryKey {
  readonly expiresAtMs: number;
  readonly claim: ClaimId;
}

/** Finds the claims that an entry holds and has not settled. */
export interface RunningClaimKey {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
  readonly claim: ClaimId;
}

/** What the claims take up. */
export interface ClaimUsage {
  readonly claims: number;
  readonly answerBytes: number;
}

/** Finds the objects that refer to an object. */
export interface ReferenceKey {
  readonly to: ObjectKey;
  readonly from: ObjectKey;
}

/** Finds the objects of a kind. */
export interface KindKey {
  readonly kind: ObjectKind;
  readonly object: ObjectKey;
}

/** Finds what is known of the reports of an entry's incarnations. */
export interface CountMarkKey {
  readonly node: NodeId;
  readonly incarnation: IncarnationId;
}

/** The latest count report that was added up. */
export interface CountMark {
  readonly sequence: number;
  readonly atMs: number;
}

/** Orders claims by the time at which they may be forgotten. */
export const compareClaimExpiry = compareBy<
  keyof ClaimExpiryKey,
  ClaimExpiryKey
>('expiresAtMs', 'claim');
/** Orders running claims by entry and incarnation. */
export const compareRunningClaims = compareBy<
  keyof RunningClaimKey,
  RunningClaimKey
>('node', 'incarnation', 'claim');
/** Orders references by the object referred to. */
export const compareReferences = compareBy<keyof ReferenceKey, ReferenceKey>(
  'to',
  'from',
);
/** Orders objects by kind. */
export const compareKinds = compareBy<keyof KindKey, KindKey>('kind', 'object');
/** Orders service counts by month first. */
export const compareServiceCounts = compareBy<
  keyof ServiceCountKey,
  ServiceCountKey
>('month', 'tier', 'organisation', 'kind');
/** Orders count marks by entry. */
export const compareCountMarks = compareBy<keyof CountMarkKey, CountMarkKey>(
  'node',
  'incarnation',
);
