import type {HeartbeatAnswer, SentHeartbeat} from './controlStatus.js';

/** The entry's heartbeats since its start, by what came back for them. */
export interface HeartbeatTotals {
  readonly byAnswer: Readonly<Record<HeartbeatAnswer['kind'], number>>;
  /** Those whose answer came late, of any kind. */
  readonly late: number;
  /** The heartbeats as they were counted last; the others are older. */
  readonly counted: readonly SentHeartbeat[];
}

/** Before the first heartbeat. */
export const NO_HEARTBEATS: HeartbeatTotals = {
  byAnswer: {none: 0, renewed: 0, unused: 0, notLeader: 0},
  late: 0,
  counted: [],
};
