import type {View} from '@gentianshunt/board';
import type {
  ControlObservation,
  ControlSections,
} from '@gentianshunt/controlModel';

import type {ConsensusCells} from './consensusCells.js';

/** The maps by node that the consensus controller writes. */
export type ConsensusMaps =
  'followerProgress' | 'rememberedPositions' | 'joiningNodes';

/** The sections that the consensus controller writes. */
export type ConsensusSections =
  ConsensusCells | ConsensusMaps | 'log' | 'logOffsets' | 'unsyncedBatches';

/** The sections that the consensus controller reads. */
export type ConsensusReads =
  | ConsensusSections
  | 'identity'
  | 'proposals'
  | 'memberProposals'
  | 'capturedState';

/** The view of the board that the consensus controller gets. */
export type ConsensusView = View<
  ControlSections,
  ConsensusReads,
  ControlObservation
>;
