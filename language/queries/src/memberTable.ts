import type {MemberSummary} from '@gentianshunt/messages';

import {defineNumber, defineTable, defineText} from './table.js';

/** The group that replicates the control log, as its leader knows it. */
export const MEMBERS_TABLE = defineTable<MemberSummary>({
  name: 'members',
  help: 'Members of the control group and nodes that wait to join it.',
  scope: 'deployment',
  controlQuery: {kind: 'members'},
  columns: [
    defineText('name', ({node}) => node),
    defineText('role', ({role}) => role),
    defineNumber('silent-ms', ({silentMs}) => silentMs),
    defineNumber('lag-entries', ({lagEntries}) => lagEntries),
    defineNumber('waited-ms', ({waitedMs}) => waitedMs),
    defineText('storage', ({storage}) => storage),
  ],
  list: ({controlResult}) =>
    controlResult?.kind === 'members' ? controlResult.members : [],
});
