import type {LogIndex, Term} from './logEntry.js';
import type {Member} from './membership.js';

/**
 * A write that restores one part of the applied state. Consensus stores and
 * sends it without reading its content.
 */
export type SnapshotItem =
  | {readonly kind: 'set'; readonly section: string; readonly value: unknown}
  | {
      readonly kind: 'put';
      readonly section: string;
      readonly key: unknown;
      readonly value: unknown;
    };

/** Position of the last log entry that a snapshot includes. */
export interface SnapshotHeader {
  readonly index: LogIndex;
  readonly term: Term;
  /** The members at that position. */
  readonly members: readonly Member[];
}

/** The applied state after the log entry at an index. */
export interface StateSnapshot extends SnapshotHeader {
  readonly items: readonly SnapshotItem[];
}
