import type {ConsensusMessage, LogEntry} from '@gentianshunt/messages';
import t from 'tap';

import {readOrderingKey} from '../src/index.js';

function createEnvelope(message: ConsensusMessage) {
  return {kind: 'consensus', sender: 'a', receiver: null, message};
}

function createAppend(entries: readonly LogEntry[]): ConsensusMessage {
  return {
    kind: 'appendRequest',
    term: 1,
    previousIndex: 1,
    previousTerm: 1,
    entries,
    commitIndex: 1,
    syncedIndex: 1,
    sentAt: 0,
  };
}

const ENTRIES: readonly LogEntry[] = [
  {index: 2, term: 1, payload: {kind: 'expireClaims', atMs: 0}},
];

t.test(
  'a heartbeat of the control log does not follow its entries',
  async t => {
    const heartbeat = readOrderingKey(createEnvelope(createAppend([])));
    const entries = readOrderingKey(createEnvelope(createAppend(ENTRIES)));
    t.not(heartbeat, entries);
  },
);

t.test('messages between entries keep their order', async t => {
  t.equal(readOrderingKey([1, 'a']), readOrderingKey([5, 'b']));
});
