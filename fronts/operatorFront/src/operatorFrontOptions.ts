import type {BoardView} from '@gentianshunt/board';
import type {Clock} from '@gentianshunt/clock';
import type {EntryObservation, EntrySections} from '@gentianshunt/entryModel';
import type {RequestId} from '@gentianshunt/identifiers';
import type {FastifyInstance} from 'fastify';

import type {OperatorAccess} from './operatorAccess.js';

/** Options of the HTTP interface for operators. */
export interface OperatorFrontOptions {
  readonly server: FastifyInstance;
  readonly post: (observation: EntryObservation) => void;
  readonly view: BoardView<EntrySections>;
  readonly clock: Clock;
  readonly access: OperatorAccess;
  readonly drawRequestId: () => RequestId;
}
