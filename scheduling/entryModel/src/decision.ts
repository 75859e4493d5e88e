import type {Milliseconds} from '@gentianshunt/clock';
import type {
  EndpointId,
  EndpointSetId,
  FingerprintId,
  GrantId,
  NodeId,
  OrganisationId,
  PromptPartId,
  RequestId,
} from '@gentianshunt/identifiers';

import type {HeartbeatAnswer} from './controlStatus.js';
import type {GrantHoldCause} from './grantHold.js';
import type {Fingerprint} from './fingerprint.js';
import type {QuarantineState} from './quarantine.js';
import type {EndpointRecord} from './endpointRecord.js';
import type {AnswerProgress} from './streamEnd.js';
import type {CatchUpCause} from './leaveRecord.js';
import type {Reach} from './reach.js';
import type {WithdrawalSource} from './withdrawal.js';

/** Why the latest heartbeats brought no lease. */
export type MissingLeaseCause =
  /** No heartbeat was sent after the one that renewed the lease. */
  | 'notAsked'
  /** No daemon replied. */
  | 'noReply'
  /** A reply came after the lease that it gave had ended. */
  | 'replyLate'
  /** The entry does not hold the version that a reply names. */
  | 'versionMissing'
  /** The leader replied that it is not confirmed. */
  | 'leaderUnconfirmed'
  /** Daemons name a leader that does not reply. */
  | 'leaderSilent'
  /** The daemons that reply know no leader. */
  | 'noLeader';

/** A heartbeat with what came back, as it is logged. */
export interface HeartbeatSummary {
  readonly to: NodeId;
  /** Time since it was sent. */
  readonly ageMs: Milliseconds;
  readonly answer: HeartbeatAnswer;
}

/** What a broken run says of the whole request. */
export type Suspicion =
  /** Requests like it had sound answers of this entry. */
  | 'soundBefore'
  /** Its answer had delivered events. */
  | 'delivering'
  /** No other broken run of such a request is known to this entry. */
  | 'firstBreak'
  /** Requests like it broke before, and none had a sound answer. */
  | 'brokeBefore';

/** A decision or a state change of an entry, with its inputs, for the log. */
export type EntryDecision =
  | {
      readonly kind: 'requestDispatched';
      readonly request: RequestId;
      readonly set: EndpointSetId;
      readonly organisation: OrganisationId;
      readonly rank: number;
      readonly endpoint: EndpointId;
      /** Contains the leader's epoch and the demand report it answers. */
      readonly grant: GrantId;
      readonly attempt: number;
      readonly waitedMs: Milliseconds;
      /** Age of the set leader's report that the endpoint accepts requests. */
      readonly stateAgeMs: Milliseconds;
      readonly isRepeatable: boolean;
      readonly configurationVersion: number;
    }
  | {
      readonly kind: 'requestRequeued';
      readonly request: RequestId;
      readonly set: EndpointSetId;
      /** The endpoint at which the dispatch failed. */
      readonly endpoint: EndpointId;
      readonly attempts: number;
      readonly mayHaveRun: boolean;
      readonly waitedMs: Milliseconds;
    }
  | {
      readonly kind: 'allotmentRefused';
      readonly request: RequestId;
      readonly organisation: OrganisationId;
      readonly tokens: number;
      /** The quota owner, or the entry itself while the owner is silent. */
      readonly decidedBy: NodeId;
      readonly usedTokens: number;
      readonly limitTokens: number;
      readonly retryAfterMs: Milliseconds;
      readonly configurationVersion: number;
    }
  | {
      readonly kind: 'requestShed';
      readonly request: RequestId;
      readonly set: EndpointSetId;
      readonly rank: number;
      /** The set leader, or the entry itself shortly before the caller leaves. */
      readonly decidedBy: NodeId;
      readonly waitedMs: Milliseconds;
      /** Time after which its caller leaves; `null` if unknown. */
      readonly patienceMs: Milliseconds | null;
      /** Requests of its queue that wait in this entry. */
      readonly waitingHere: number;
      /** Requests of the set that this entry has at endpoints. */
      readonly runningHere: number;
      /** Epoch of the set leader that this entry follows. */
      readonly epoch: number | null;
    }
  | {
      /** The connection to an endpoint failed before the end of an answer. */
      readonly kind: 'answerBroken';
      readonly request: RequestId;
      readonly set: EndpointSetId;
      readonly organisation: OrganisationId;
      readonly endpoint: EndpointId;
      readonly attempt: number;
      readonly progress: AnswerProgress;
      readonly sinceDispatchMs: Milliseconds;
      readonly promptParts: readonly PromptPartId[];
      /** Of the whole request; `null` if its front computes none. */
      readonly fingerprint: FingerprintId | null;
      readonly suspicion: Suspicion;
    }
  | {
      /** An endpoint named a limit in an answer, another one, or none again. */
      readonly kind: 'endpointLimitNamed';
      readonly set: EndpointSetId;
      readonly endpoint: EndpointId;
      readonly perSecond: number | null;
      readonly before: number | null;
      /** Rejections a second that it bears; `null` if it is not brittle. */
      readonly rejectionsPerSecond: number | null;
    }
  | {
      /** The entry learnt that an endpoint left. */
      readonly kind: 'endpointLeaveLearnt';
      readonly endpoint: EndpointId;
      readonly source: WithdrawalSource;
      /** This entry, or the one that told it. */
      readonly learntFrom: NodeId;
      /** How long the leave is remembered; less the longer ago it was. */
      readonly remainingMs: Milliseconds;
      /** Requests of this entry that are at the endpoint. */
      readonly openRequests: number;
      /** Time since the latest of them was dispatched. */
      readonly sinceDispatchMs: Milliseconds | null;
    }
  | {
      /** No other entry confirmed in time that it knows of a leave. */
      readonly kind: 'leaveUnconfirmed';
      readonly endpoint: EndpointId;
      readonly waitedMs: Milliseconds;
    }
  | {
      /** The entry has caught up with the leaves that it may have missed. */
      readonly kind: 'leaveCatchUpEnded';
      readonly cause: CatchUpCause;
      /** How long the process stood still; 0 for another cause. */
      readonly pausedMs: Milliseconds;
      readonly waitedMs: Milliseconds;
      /** `null` if no entry answered in time, or there is no other. */
      readonly answeredBy: NodeId | null;
    }
  | {
      /** A quarantine was decided or learnt. */
      readonly kind: 'quarantineChanged';
      readonly fingerprint: FingerprintId;
      readonly fingerprintKind: Fingerprint['kind'];
      readonly set: EndpointSetId;
      readonly state: QuarantineState['kind'];
      /** This entry, or the one that reported it. */
      readonly learntFrom: NodeId;
      readonly crashes: number;
      readonly reporters: number;
      readonly level: number;
      readonly remainingMs: Milliseconds;
    }
  | {
      readonly kind: 'leaseLost';
      readonly leader: NodeId | null;
      readonly expiredMs: Milliseconds;
      readonly configurationVersion: number;
      /** The operator's version of the configuration that it held. */
      readonly release: number | null;
      /** Time since the entry adopted that configuration. */
      readonly sinceAdoptedMs: Milliseconds | null;
      /** Time since the leader last confirmed it by renewing the lease. */
      readonly sinceRenewedMs: Milliseconds | null;
      readonly cause: MissingLeaseCause;
      /** The latest heartbeats, newest last. */
      readonly heartbeats: readonly HeartbeatSummary[];
    }
  | {
      /** The entry still has no lease; written at intervals. */
      readonly kind: 'leaseMissing';
      readonly leader: NodeId | null;
      readonly configurationVersion: number;
      readonly missingMs: Milliseconds;
      readonly cause: MissingLeaseCause;
      /** The latest heartbeats, newest last. */
      readonly heartbeats: readonly HeartbeatSummary[];
    }
  | {
      readonly kind: 'leaseRegained';
      readonly leader: NodeId | null;
      readonly configurationVersion: number;
      readonly release: number | null;
      /** How long the entry had no lease; `null` for the first one. */
      readonly lapsedMs: Milliseconds | null;
      readonly sinceStartMs: Milliseconds;
      /** Heartbeats sent while the entry had no lease. */
      readonly heartbeatsSent: number;
    }
  | {
      /** The entry learnt whether it reaches endpoints. */
      readonly kind: 'reachChanged';
      readonly reach: Reach['kind'];
      readonly before: Reach['kind'];
      /** How long it was so before; `null` if it always was. */
      readonly lastedMs: Milliseconds | null;
      /** Endpoints to which connections failed lately. */
      readonly failed: number;
      /** Time since a byte of any endpoint arrived; `null` if none did. */
      readonly silentMs: Milliseconds | null;
    }
  | {
      /** The entry passes a request on to another one. */
      readonly kind: 'requestRelayed';
      readonly request: RequestId;
      readonly set: EndpointSetId;
      readonly to: NodeId;
      readonly attempt: number;
      readonly waitedMs: Milliseconds;
    }
  | {
      /** The entry sent an operator's change to the leading control daemon. */
      readonly kind: 'changeForwarded';
      readonly release: number;
      readonly to: NodeId;
      /** How often this entry has sent it to that daemon. */
      readonly attempt: number;
      /** Time since the operator's call was read. */
      readonly waitedMs: Milliseconds;
    }
  | {
      readonly kind: 'controlLeaderChanged';
      readonly from: NodeId | null;
      readonly to: NodeId | null;
    }
  | {
      readonly kind: 'configurationApplied';
      readonly configurationVersion: number;
      readonly fromVersion: number;
      /** The version that the operator gave the configuration. */
      readonly release: number | null;
      /** The number of objects that changed. */
      readonly changes: number;
      /** Time since the version before; `null` for the first one. */
      readonly sinceAdoptedMs: Milliseconds | null;
    }
  | {
      readonly kind: 'setLeaderChanged';
      readonly set: EndpointSetId;
      readonly node: NodeId;
      readonly epoch: number;
    }
  | {
      /** The leader of a set grants nothing although requests wait. */
      readonly kind: 'grantsHeld';
      readonly set: EndpointSetId;
      readonly epoch: number;
      readonly cause: GrantHoldCause;
      readonly heldMs: Milliseconds;
      readonly waiting: number;
      /** Entries whose demand it knows. */
      readonly entries: number;
      /** Endpoints that it knows to accept requests. */
      readonly endpoints: number;
      /** What these process at once, as far as it may be used now. */
      readonly capacity: number;
      readonly occupied: number;
    }
  | {
      /** It grants again, or nothing waits any more. */
      readonly kind: 'grantsResumed';
      readonly set: EndpointSetId;
      readonly epoch: number;
      readonly cause: GrantHoldCause;
      readonly heldMs: Milliseconds;
    }
  | {
      /** Requests of this entry wait and the set leader has granted nothing. */
      readonly kind: 'grantsAwaited';
      readonly set: EndpointSetId;
      readonly leader: NodeId | null;
      readonly epoch: number | null;
      readonly waiting: number;
      readonly oldestWaitMs: Milliseconds;
      /** Time since the latest grant; `null` if there was none. */
      readonly sinceGrantMs: Milliseconds | null;
      /** Time since the latest reply; `null` if there was none. */
      readonly sinceReplyMs: Milliseconds | null;
      /** Demand reports in a row that were lost or refused. */
      readonly failures: number;
    }
  | {
      /** The first event of a stream waited long until others kept its origin. */
      readonly kind: 'answerHeld';
      readonly request: RequestId;
      readonly set: EndpointSetId;
      readonly heldMs: Milliseconds;
      readonly keptBy: readonly NodeId[];
    }
  | {
      /** A request is refused: nobody knows what began the stream it takes up. */
      readonly kind: 'originNotFound';
      readonly request: RequestId;
      /** The attempt that brought the first event; `null` if not named. */
      readonly attempt: RequestId | null;
      readonly set: EndpointSetId;
      /** The software that the entries saw while such streams live. */
      readonly seen: readonly string[];
      /** What they say that streams which were not reported began at. */
      readonly unreported: readonly string[];
      /** How many of them would have a record of the stream, of how many. */
      readonly keepers: number;
      readonly holders: number;
      /** Entries that were asked and have not answered. */
      readonly unanswered: number;
      /** For how long this entry has seen the software of the set. */
      readonly seenForMs: Milliseconds | null;
      readonly waitedMs: Milliseconds;
    }
  | {
      readonly kind: 'endpointChanged';
      readonly set: EndpointSetId;
      readonly endpoint: EndpointId;
      readonly state: EndpointRecord['state'] | 'forgotten';
      readonly sequence: number | null;
      readonly silentMs: Milliseconds;
    }
  | {
      readonly kind: 'endpointsLearnt';
      readonly set: EndpointSetId;
      readonly epoch: number;
      readonly digest: number;
      readonly count: number;
    }
  | {readonly kind: 'serviceChanged'; readonly state: 'serving' | 'draining'};
