import t from 'tap';

import {createProgressTracker} from '../src/progressTracker.js';

const cases: readonly {
  readonly name: string;
  readonly chunks: readonly string[];
  readonly progress: string;
}[] = [
  {name: 'no chunk', chunks: [], progress: 'awaitingFirstEvent'},
  {
    name: 'part of an event',
    chunks: ['id: 1\nda', 'ta: a\n'],
    progress: 'awaitingFirstEvent',
  },
  {name: 'one event', chunks: ['id: 1\ndata: a\n\n'], progress: 'delivering'},
  {
    name: 'an event that ends between two chunks',
    chunks: ['id: 1\ndata: a\n', '\nid: 2'],
    progress: 'delivering',
  },
];

for (const {name, chunks, progress} of cases) {
  t.test(`the progress of an answer: ${name}`, async t => {
    const tracker = createProgressTracker();
    t.equal(tracker.read(), 'awaitingHead');
    tracker.recordHead();
    for (const chunk of chunks) {
      tracker.recordChunk(Buffer.from(chunk));
    }
    t.equal(tracker.read(), progress);
  });
}
