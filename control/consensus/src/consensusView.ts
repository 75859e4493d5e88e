import type {View} from '@gentianshunt/board';
import type {
  ControlObservation,
  ControlSections,
} from '@gentianshunt/controlModel';

import type {ConsensusCells} from './cellDraft.js';

/** The maps by node that the consensus controller writes. */
export type ConsensusMaps = 'progress' | 'witnesses' | 'applicants';

/** The sections that the consensus controller writes. */
export type ConsensusSections = ConsensusCells | ConsensusMaps | 'log' | 'held';

/** The sections that the consensus controller reads. */
export type ConsensusReads =
  ConsensusSections | 'identity' | 'proposals' | 'memberProposals' | 'captured';

/** The view of the board that the consensus controller gets. */
export type ConsensusView = View<
  ControlSections,
  ConsensusReads,
  ControlObservation
>;
