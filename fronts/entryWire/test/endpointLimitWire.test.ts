import type {EntryMessage} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {decodeEntryMessage, encodeEntryMessage} from '../src/index.js';

t.test(
  'limits and brittleness of endpoints arrive as they were sent',
  async t => {
    const cases = [
      {perSecond: null, rejectionsPerSecond: null},
      {perSecond: 2.8, rejectionsPerSecond: null},
      {perSecond: null, rejectionsPerSecond: 3},
      {perSecond: 2.5, rejectionsPerSecond: 0.5},
    ];
    const message: EntryMessage = {
      kind: 'endpointLimitsReported',
      set: toIdentifier('drafts'),
      limits: cases.map((each, index) => ({
        ...each,
        endpoint: toIdentifier(`engine-${index}`),
        ageMs: index,
      })),
    };
    t.strictSame(
      decodeEntryMessage(encodeEntryMessage(message), 'peer'),
      message,
    );
  },
);
