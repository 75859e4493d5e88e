import type {BoardView} from '@gentianshunt/board';
import type {Clock} from '@gentianshunt/clock';
import type {EntryObservation, EntrySections} from '@gentianshunt/entryModel';
import type {MemoryGate} from '@gentianshunt/requestBodies';
import type {LoopMonitor} from '@gentianshunt/runtime';

import type {CallProtocol} from './callProtocol.js';
import type {CallStep} from './callStep.js';
import type {CallTable} from './callTable.js';

/** Options of the streams from endpoints. */
export interface EndpointStreamOptions {
  readonly calls: CallTable;
  readonly protocol: CallProtocol;
  readonly view: BoardView<EntrySections>;
  readonly clock: Clock;
  readonly loop: LoopMonitor;
  readonly gate: MemoryGate;
  readonly post: (observation: EntryObservation) => void;
  readonly onStep: (step: CallStep) => void;
}
