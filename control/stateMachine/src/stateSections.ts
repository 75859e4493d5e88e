import type {View} from '@gentianshunt/board';
import type {
  ControlObservation,
  ControlSections,
  ControlWrite,
} from '@gentianshunt/controlModel';

/**
 * The sections that make up the applied state. The committed log alone
 * determines them, and snapshots store them by name.
 */
export const STATE_SECTIONS = [
  'applied',
  'configuration',
  'source',
  'objectKinds',
  'references',
  'history',
  'commands',
  'commandFloor',
  'changeUsage',
  'changeBytes',
  'nextCommand',
  'weightStore',
  'claims',
  'claimExpiry',
  'runningClaims',
  'claimUsage',
  'serviceCounts',
  'recentCounts',
  'countMarks',
] as const;

/** The sections that the state machine writes. */
export type StateWrites = (typeof STATE_SECTIONS)[number];

/** The sections that the state machine reads. */
export type StateReads = StateWrites | 'log' | 'logStatus';

/** The part of the board that the state machine reads. */
export type StateView = View<ControlSections, StateReads, ControlObservation>;

/** A write of the state machine. */
export type StateWrite = ControlWrite<StateWrites>;
