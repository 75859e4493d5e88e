import type {Quarantine} from '@gentianshunt/entryModel';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

import {defineNumber, defineTable, defineText} from './table.js';

/** Prompt parts that crashed endpoints, as the queried entry knows them. */
export const QUARANTINES_TABLE = defineTable<Quarantine>({
  name: 'quarantines',
  help: 'Prompt parts that crashed endpoints, as the queried entry knows them.',
  scope: 'entry',
  columns: [
    defineText('part', ({part}) => part),
    defineText('state', ({state}) => state.kind),
    defineText('set', ({set}) => set),
    defineNumber('crashes', ({crashes}) => crashes),
    defineNumber('reporters', ({reporters}) => reporters),
    defineNumber('level', ({level}) => level),
    defineNumber('changed-ms', ({changedAt}, {monotonic}) =>
      computeDistance(changedAt, monotonic),
    ),
    defineNumber('remaining-ms', ({state}, {monotonic}) =>
      computeDistance(monotonic, state.until),
    ),
    defineText('tester', ({state}) =>
      state.kind === 'testing' ? state.tester : null,
    ),
    defineText('entry', (_quarantine, {board}) => board.identity.address.node),
  ],
  list: ({board}) => [...board.quarantines.values()],
});

function computeDistance(from: MonotonicTime, to: MonotonicTime): Milliseconds {
  return Math.max(0, Math.round(to - from));
}
