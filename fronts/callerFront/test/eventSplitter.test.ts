import * as fc from 'fast-check';
import t from 'tap';

import {createEventSplitter, isEndMark} from '../src/eventSplitter.js';

const SEED = 20_261_204;

/** Splits bytes into chunks at the given offsets. */
function splitAt(bytes: Buffer, offsets: readonly number[]): readonly Buffer[] {
  const ends = [...offsets, bytes.length].sort((a, b) => a - b);
  return ends.map((end, index) => bytes.subarray(ends[index - 1] ?? 0, end));
}

t.test('chunk boundaries do not change the events', async t => {
  fc.assert(
    fc.property(
      fc.array(fc.string().map(text => text.replaceAll('\n', ' '))),
      fc.array(fc.nat()),
      (texts, offsets) => {
        const events = [...texts.map(text => `data: ${text}`), 'data: [DONE]'];
        const bytes = Buffer.from(events.map(e => `${e}\n\n`).join(''));
        const splitter = createEventSplitter();
        const found = splitAt(
          bytes,
          offsets.map(offset => offset % (bytes.length + 1)),
        ).flatMap(chunk => splitter.push(chunk));
        t.strictSame(
          found.map(event => event.toString()),
          events.map(event => `${event}\n\n`),
        );
        t.equal(found.filter(isEndMark).length >= 1, true);
        t.equal(splitter.pendingBytes, 0);
      },
    ),
    {seed: SEED, numRuns: 50},
  );
});

t.test('a stream truncated inside its end mark has no end mark', async t => {
  const splitter = createEventSplitter();
  const events = splitter.push(Buffer.from('data: a\n\ndata: [DONE]\n'));
  t.equal(events.length, 1);
  t.equal(events.some(isEndMark), false);
  t.ok(splitter.pendingBytes > 0);
});
