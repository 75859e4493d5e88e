/** Queries to the leading control daemon, and their results. */
import type {BatchResult} from '@gentianshunt/configuration';
import type {NodeId, OperatorId} from '@gentianshunt/identifiers';

import type {CommandNumber, ConfigurationVersion} from './logEntry.js';
import type {Member, StorageId} from './membership.js';
import type {RecentCount} from './recentCount.js';
import type {CalendarMonth, ServiceCount} from './serviceCount.js';

/** Summary of a stored command in a query result. */
export interface CommandSummary {
  readonly number: CommandNumber;
  readonly operator: OperatorId;
  readonly digest: string;
  readonly version: ConfigurationVersion;
  readonly result: BatchResult['kind'];
}

/** How long ago a release reached each stage, as the leader knows. */
export interface ReleaseSummary {
  /** The operator's version. */
  readonly release: number;
  readonly version: ConfigurationVersion;
  readonly bytes: number;
  /** `null` if this leader did not propose it. */
  readonly sinceProposedMs: number | null;
  /** `null` while it is not committed. */
  readonly sinceAppliedMs: number | null;
  /** `null` while it is not known to be in force. */
  readonly sinceInForceMs: number | null;
  /** Entries with a session that have not confirmed it. */
  readonly lagging: readonly NodeId[];
}

/** What the leader knows of a member, or of a node that waits to be one. */
export interface MemberSummary {
  readonly node: NodeId;
  readonly storage: StorageId;
  readonly role: Member['role'] | 'joining';
  /** Since when it has not answered the leader; `null` if it is no member. */
  readonly silentMs: number | null;
  /** Committed entries that it lacks; `null` if it is no member. */
  readonly lagEntries: number | null;
  /** Since when it waits to be a member; `null` if it is one. */
  readonly waitedMs: number | null;
}

/** A query that only the leading control daemon can answer. */
export type ControlQuery =
  | {readonly kind: 'counts'; readonly month: CalendarMonth | null}
  | {readonly kind: 'recentCounts'}
  | {readonly kind: 'source'}
  | {readonly kind: 'releases'}
  | {readonly kind: 'members'}
  | {readonly kind: 'commands'; readonly limit: number};

/** The result of a control query. */
export type ControlQueryResult =
  | {readonly kind: 'counts'; readonly counts: readonly ServiceCount[]}
  | {readonly kind: 'recentCounts'; readonly counts: readonly RecentCount[]}
  | {
      readonly kind: 'source';
      /** `null` until a replacement has been applied. */
      readonly source: ConfigurationSource | null;
    }
  | {
      readonly kind: 'releases';
      /** The latest releases, newest first. */
      readonly releases: readonly ReleaseSummary[];
    }
  | {
      readonly kind: 'members';
      /** At the latest heartbeat of the leader. */
      readonly members: readonly MemberSummary[];
    }
  | {
      readonly kind: 'commands';
      readonly nextFree: CommandNumber;
      /** Numbers below it are refused. */
      readonly floor: CommandNumber;
      /** The latest commands, highest number first. */
      readonly commands: readonly CommandSummary[];
    };

/** The document of the latest configuration replacement. */
export interface ConfigurationSource {
  readonly version: number;
  readonly document: Uint8Array;
}

/** Source of a configuration that has never been replaced. */
export const NO_SOURCE: ConfigurationSource = {
  version: -1,
  document: new Uint8Array(),
};
