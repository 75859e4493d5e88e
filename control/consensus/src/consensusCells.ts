/** The cells that the consensus controller writes. */
export type ConsensusCells =
  | 'ballot'
  | 'role'
  | 'logStatus'
  | 'electionTimer'
  | 'persistSequence'
  | 'memberships'
  | 'leadership'
  | 'leaderClock'
  | 'startCheck'
  | 'snapshot'
  | 'snapshotBytes'
  | 'incomingSnapshot'
  | 'contacts';
