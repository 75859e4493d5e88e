import type {LogIndex, Term} from './logEntry.js';
import type {Member} from './membership.js';

/** A write that rebuilds one part of the state; opaque to the log. */
export type SnapshotItem =
  | {readonly kind: 'set'; readonly section: string; readonly value: unknown}
  | {
      readonly kind: 'put';
      readonly section: string;
      readonly key: unknown;
      readonly value: unknown;
    };

/** The last entry that a snapshot stands for. */
export interface SnapshotHeader {
  readonly index: LogIndex;
  readonly term: Term;
  /** The members as of that entry. */
  readonly members: readonly Member[];
}

/** The state after the entries up to an index. */
export interface StateSnapshot extends SnapshotHeader {
  readonly items: readonly SnapshotItem[];
}
