import type {Fingerprint, Quarantine} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {Milliseconds, MonotonicTime} from '@gentianshunt/clock';

import {defineNumber, defineTable, defineText} from './table.js';

/** Prompt parts and requests that crashed endpoints, as the queried entry knows them. */
export const QUARANTINES_TABLE = defineTable<Quarantine>({
  name: 'quarantines',
  help: 'Prompt parts and whole requests that crashed endpoints, as the queried entry knows them.',
  scope: 'entry',
  columns: [
    defineText('fingerprint', ({fingerprint}) => fingerprint.id),
    defineText('kind', ({fingerprint}) => fingerprint.kind),
    defineText('part', ({fingerprint}) => findPromptPart(fingerprint)),
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

/** Finds the prompt part that a fingerprint stands for. */
function findPromptPart({kind, id}: Fingerprint): string | null {
  switch (kind) {
    case 'promptPart':
      return id;
    case 'request':
      return null;
    default:
      return assertNever(kind, 'findPromptPart');
  }
}

function computeDistance(from: MonotonicTime, to: MonotonicTime): Milliseconds {
  return Math.max(0, Math.round(to - from));
}
