import type {LogEntry, LogIndex, Term} from './logEntry.js';

/** Messages among the control daemons that keep the log. */
export type ConsensusMessage =
  | {
      /** Asks for a vote; a pre-vote changes no term. */
      readonly kind: 'voteRequest';
      readonly preVote: boolean;
      readonly term: Term;
      readonly lastIndex: LogIndex;
      readonly lastTerm: Term;
    }
  | {
      readonly kind: 'voteReply';
      readonly preVote: boolean;
      readonly term: Term;
      readonly granted: boolean;
    }
  | {
      readonly kind: 'appendRequest';
      readonly term: Term;
      readonly previousIndex: LogIndex;
      readonly previousTerm: Term;
      readonly entries: readonly LogEntry[];
      readonly commitIndex: LogIndex;
      /** Rises with every request; replies carry it back. */
      readonly round: number;
    }
  | {
      readonly kind: 'appendReply';
      readonly term: Term;
      readonly success: boolean;
      /** Last index known to match, or a hint where to try next. */
      readonly matchIndex: LogIndex;
      readonly round: number;
    };
