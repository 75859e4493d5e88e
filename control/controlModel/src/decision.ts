import type {Milliseconds} from '@gentianshunt/clock';
import type {IncarnationId, NodeId} from '@gentianshunt/identifiers';
import type {LogIndex, Member, Term} from '@gentianshunt/messages';

import type {MissingCopy} from './groupWatch.js';
import type {SnapshotOrigin} from './logActivity.js';
import type {Role, StartCheck} from './role.js';

/** A change in a control daemon's state that its decision log records. */
export type ControlDecision =
  | {
      readonly kind: 'roleChanged';
      readonly role: Role['kind'];
      readonly term: Term;
      readonly leader: NodeId | null;
      readonly commitIndex: LogIndex;
    }
  | {
      readonly kind: 'membersChanged';
      readonly index: LogIndex;
      readonly members: readonly Member[];
    }
  | LeaderDecision
  | GroupDecision
  | ReleaseDecision
  | LogDecision
  | {
      readonly kind: 'sessionOpened';
      readonly node: NodeId;
      readonly incarnation: IncarnationId;
      readonly version: number;
    }
  | {readonly kind: 'sessionEnded'; readonly node: NodeId};

/** Whether the leader may answer entries. */
export type LeaderDecision =
  | {
      /** It may not; written when it begins and at intervals. */
      readonly kind: 'leaderUnconfirmed';
      readonly term: Term;
      readonly reason: 'ownEntryNotApplied' | 'leaderLeaseLapsed';
      readonly unconfirmedMs: Milliseconds;
      /** The first index of its term. */
      readonly ownIndex: LogIndex;
      readonly syncedIndex: LogIndex;
      readonly commitIndex: LogIndex;
      readonly appliedIndex: LogIndex;
      readonly voters: number;
      /** Voters that have not answered lately. */
      readonly silent: readonly NodeId[];
    }
  | {
      /** It may again, after a time that was logged. */
      readonly kind: 'leaderConfirmed';
      readonly term: Term;
      readonly unconfirmedMs: Milliseconds;
      readonly commitIndex: LogIndex;
    };

/** A node that waits to join the group. */
export interface DelayedJoiner {
  readonly node: NodeId;
  readonly waitedMs: Milliseconds;
}

/** What a member sees of the group; most of it only the leader. */
export type GroupDecision =
  | {
      /** Fewer voters than there are hold what is committed and answer. */
      readonly kind: 'copiesMissing';
      readonly voters: number;
      readonly copies: number;
      readonly commitIndex: LogIndex;
      readonly missing: readonly MissingCopy[];
    }
  | {
      /** All voters do again. */
      readonly kind: 'copiesComplete';
      readonly voters: number;
      readonly commitIndex: LogIndex;
      readonly missingMs: Milliseconds;
    }
  | {
      /** Nodes have asked to join for some time and are no members. */
      readonly kind: 'joinWaiting';
      /** All that wait, those that have waited less included. */
      readonly waiting: number;
      readonly nodes: readonly DelayedJoiner[];
    }
  | {
      /** The member knows no leader; written at intervals. */
      readonly kind: 'leaderMissing';
      readonly role: Role['kind'];
      readonly term: Term;
      /** Since the last message from a leader, or since the start. */
      readonly missingMs: Milliseconds;
      /** Whether its data folder may vote. */
      readonly folder: StartCheck['kind'];
      readonly isVoter: boolean;
      /** The voters that it knows; none if its folder is of no group. */
      readonly voters: readonly NodeId[];
      /** Nodes that have granted their vote, this one included. */
      readonly votes: readonly NodeId[];
      readonly lastIndex: LogIndex;
    }
  | {
      /** The same members come in force again and again. */
      readonly kind: 'membersRepeating';
      readonly index: LogIndex;
      /** Membership changes within the window. */
      readonly changes: number;
      /** Those of them that led to the present members. */
      readonly repetitions: number;
      readonly windowMs: Milliseconds;
      /** The nodes that the latest change concerns. */
      readonly nodes: readonly NodeId[];
    };

/** A stage that a release has reached. */
export type ReleaseDecision =
  | {
      /** This member, as the leader, appended the release to the log. */
      readonly kind: 'releaseProposed';
      /** The operator's version. */
      readonly release: number;
      readonly index: LogIndex;
      readonly bytes: number;
    }
  | {
      /** The release was committed, and this member has applied it. */
      readonly kind: 'releaseApplied';
      readonly release: number;
      readonly index: LogIndex;
      /** The number of objects in the configuration. */
      readonly objects: number;
      /** The number of objects that changed; `null` if no longer known. */
      readonly changedObjects: number | null;
      /** `null` on a member that did not propose it. */
      readonly sinceProposedMs: Milliseconds | null;
    }
  | {
      /** The release was committed and changed nothing. */
      readonly kind: 'releaseSuperseded';
      readonly release: number;
      readonly index: LogIndex;
      /** The release that is applied. */
      readonly heldRelease: number;
    }
  | {
      /** Every entry with a live lease has confirmed the release. */
      readonly kind: 'releaseInForce';
      readonly release: number;
      readonly index: LogIndex;
      /** Entries with a session. */
      readonly entries: number;
      readonly sinceProposedMs: Milliseconds | null;
      readonly sinceAppliedMs: Milliseconds;
    }
  | {
      /** Some entries have not confirmed the release yet. */
      readonly kind: 'releaseLagging';
      readonly release: number;
      readonly index: LogIndex;
      readonly sinceAppliedMs: Milliseconds;
      /** The remaining lease recovery period of a new leader. */
      readonly settlingMs: Milliseconds;
      readonly lagging: number;
      /** The first of the lagging entries. */
      readonly nodes: readonly NodeId[];
    }
  | {
      /** The release is not proposed before earlier bytes are stored. */
      readonly kind: 'releaseDeferred';
      readonly release: number;
      readonly uncommittedBytes: number;
      readonly unsyncedBytes: number;
    }
  | {
      /** The release is applied and may not be acknowledged yet. */
      readonly kind: 'acknowledgementDelayed';
      readonly release: number;
      /** The entry that waits for the acknowledgement. */
      readonly to: NodeId;
      readonly cause: 'ownEntryNotApplied' | 'leaseRecovery' | 'entryLease';
      /** The entry whose lease has to end; `null` for another cause. */
      readonly leaseOf: NodeId | null;
      /** `null` if it is not known when the cause ends. */
      readonly remainingMs: Milliseconds | null;
    }
  | {
      readonly kind: 'releaseAcknowledged';
      readonly release: number;
      readonly to: NodeId;
      /** Time since the leader got the entry's request. */
      readonly waitedMs: Milliseconds;
    };

/** What happened to the size of a member's log, or to its snapshots. */
export type LogDecision =
  | {
      /** The member has restored what its data folder holds. */
      readonly kind: 'logRestored';
      /** 0 if there is no snapshot. */
      readonly snapshotIndex: LogIndex;
      readonly snapshotBytes: number;
      readonly entries: number;
      readonly bytes: number;
    }
  | {
      /** The member, as the leader, can answer reads from now on. */
      readonly kind: 'readsConfirmed';
      readonly term: Term;
      readonly appliedIndex: LogIndex;
      readonly sinceElectedMs: Milliseconds;
      readonly sinceStartMs: Milliseconds;
    }
  | {
      /** The log in memory has grown by a step since the last such line. */
      readonly kind: 'logGrown';
      readonly entries: number;
      readonly bytes: number;
      readonly sinceSnapshotBytes: number;
    }
  | {
      /** A snapshot is on this member's disk, and the log is shortened. */
      readonly kind: 'snapshotStored';
      readonly origin: SnapshotOrigin;
      readonly index: LogIndex;
      readonly items: number;
      readonly bytes: number;
      /** Entries that the log holds after it. */
      readonly entriesKept: number;
      readonly durationMs: Milliseconds;
    }
  | {
      readonly kind: 'snapshotReceived';
      readonly index: LogIndex;
      readonly items: number;
      readonly bytes: number;
      readonly chunks: number;
      readonly durationMs: Milliseconds;
    }
  | {
      readonly kind: 'snapshotSent';
      readonly node: NodeId;
      readonly index: LogIndex;
      readonly outcome: SnapshotSendOutcome;
      readonly bytes: number;
      readonly chunks: number;
      readonly durationMs: Milliseconds;
    };

/** How the transmission of a snapshot to a follower ended. */
export type SnapshotSendOutcome =
  /** The follower has stored it. */
  | 'completed'
  /** The leader has a newer snapshot and sends that one from its start. */
  | 'replaced'
  /** The leader no longer leads, or the follower is no longer a member. */
  | 'abandoned';
