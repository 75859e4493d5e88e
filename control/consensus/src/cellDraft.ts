import type {SectionView} from '@gentianshunt/board';
import type {ControlSections, ControlWrite} from '@gentianshunt/controlModel';

import type {ConsensusCells} from './consensusCells.js';
import type {ConsensusView} from './consensusView.js';

/** The values of the cells, including the changes of the current run. */
export interface CellDraft {
  read<Name extends ConsensusCells>(
    name: Name,
  ): SectionView<ControlSections[Name]>;
  set<Name extends ConsensusCells>(
    name: Name,
    value: SectionView<ControlSections[Name]>,
  ): void;
  listWrites(): readonly ControlWrite<ConsensusCells>[];
}

/** Creates a draft of the cells; only the last value of each is written. */
export function createCellDraft(view: ConsensusView): CellDraft {
  const changed = new Map<ConsensusCells, unknown>();
  return {
    read: name =>
      changed.has(name)
        ? (changed.get(name) as SectionView<ControlSections[typeof name]>)
        : view.board[name],
    set: (name, value) => {
      changed.set(name, value);
    },
    listWrites: () =>
      [...changed].map(
        ([section, value]) =>
          ({kind: 'set', section, value}) as ControlWrite<ConsensusCells>,
      ),
  };
}
