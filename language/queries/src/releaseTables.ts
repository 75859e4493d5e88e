/** When the latest releases were in force, and what each entry obeys. */
import {measureLeaseOverrun} from '@gentianshunt/clock';
import {findObject, RELEASE_ID} from '@gentianshunt/configuration';
import type {LoggedState} from '@gentianshunt/entryModel';
import type {ReleaseSummary} from '@gentianshunt/messages';

import {defineNumber, defineTable, defineText} from './table.js';

/** Separates the names of entries in one cell. */
const NAME_SEPARATOR = ' ';

/** The latest releases, as the control leader knows them. */
export const RELEASES_TABLE = defineTable<ReleaseSummary>({
  name: 'releases',
  help: 'How long ago the latest releases were proposed, applied and in force.',
  scope: 'deployment',
  controlQuery: {kind: 'releases'},
  columns: [
    defineNumber('release', ({release}) => release),
    defineNumber('version', ({version}) => version),
    defineNumber('bytes', ({bytes}) => bytes),
    defineNumber('proposed-ms', ({sinceProposedMs}) => sinceProposedMs),
    defineNumber('applied-ms', ({sinceAppliedMs}) => sinceAppliedMs),
    defineNumber('in-force-ms', ({sinceInForceMs}) => sinceInForceMs),
    defineText('lagging', ({lagging}) =>
      lagging.length === 0 ? null : lagging.join(NAME_SEPARATOR),
    ),
  ],
  list: ({controlResult}) =>
    controlResult?.kind === 'releases' ? controlResult.releases : [],
});

/** The release that the queried entry obeys. */
export const OBEYED_TABLE = defineTable<LoggedState>({
  name: 'obeyed',
  help: 'The release that the queried entry obeys, and since when.',
  scope: 'entry',
  columns: [
    defineText('entry', (_state, {board}) => board.identity.address.node),
    defineNumber(
      'release',
      (_state, {board}) =>
        findObject(board.configuration, 'release', RELEASE_ID)?.version ?? null,
    ),
    defineNumber('version', ({version}) => version),
    defineNumber('adopted-ms', ({adoptedAt}, {monotonic}) =>
      adoptedAt === null ? null : Math.round(monotonic - adoptedAt),
    ),
    defineNumber('lease-ms', ({renewedAt, lease}, now) =>
      renewedAt === null ? null : -Math.round(measureLeaseOverrun(lease, now)),
    ),
  ],
  list: ({board}) => [board.loggedState],
});
