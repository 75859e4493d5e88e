import t from 'tap';

import {toIdentifier} from '@gentianshunt/identifiers';
import type {EntryObservation} from '@gentianshunt/entryModel';

import {
  COUNT_REPORT_INTERVAL_MS,
  COUNT_REPORT_RETRY_MS,
  createControlController,
  createCountController,
  createRefusalController,
  MAX_REFUSALS,
} from '../src/index.js';
import {
  createEntryFixture,
  createRefusal,
  createRequest,
  createTier,
  createUpdate,
} from './fixture.js';
import type {EntryFixture} from './fixture.js';

type Ended = Extract<EntryObservation, {readonly kind: 'requestEnded'}>;

function createFixture(): EntryFixture {
  const fixture = createEntryFixture([
    createControlController(),
    createCountController(),
    createRefusalController(),
  ]);
  fixture.receive(createUpdate(0, 1, [createTier('gold')]));
  return fixture;
}

function endRequest(
  fixture: EntryFixture,
  end: Ended['end'],
  firstTokenMs: number | null = null,
): void {
  const request = createRequest('r1');
  fixture.loop.post({kind: 'requestEnded', request, end, firstTokenMs});
}

function takeCountReports(fixture: EntryFixture) {
  return fixture
    .takeSent()
    .flatMap(message =>
      message.kind === 'countReportRequest' ? [message.report] : [],
    );
}

t.test('each end of a request is counted under its total', async t => {
  const cases = [
    {
      end: {kind: 'answered'},
      firstTokenMs: 100,
      totals: {answered: 1, onTime: 1},
    },
    {
      end: {kind: 'answered'},
      firstTokenMs: 101,
      totals: {answered: 1, onTime: 0},
    },
    {
      end: {kind: 'abandonedWaiting'},
      firstTokenMs: null,
      totals: {abandoned: 1},
    },
    {
      end: {kind: 'refused', refusal: createRefusal('r1')},
      firstTokenMs: null,
      totals: {shed: 1},
    },
    {
      end: {
        kind: 'refused',
        refusal: createRefusal('r1', {kind: 'answerCut', detail: ''}),
      },
      firstTokenMs: null,
      totals: {failed: 1},
    },
  ] as const;
  for (const {end: ended, firstTokenMs, totals} of cases) {
    const fixture = createFixture();
    endRequest(fixture, ended, firstTokenMs);
    const [count] = fixture.loop.view.counts.values();
    t.match(count?.totals, totals);
  }
});

t.test(
  'a count report is resent unchanged until it is acknowledged',
  async t => {
    const fixture = createFixture();
    endRequest(fixture, {kind: 'answered'}, 1);
    fixture.tick(COUNT_REPORT_INTERVAL_MS);
    const [first] = takeCountReports(fixture);
    t.match(first, {sequence: 1, counts: [{totals: {answered: 1}}]});
    endRequest(fixture, {kind: 'answered'}, 1);
    fixture.tick(COUNT_REPORT_RETRY_MS);
    t.strictSame(takeCountReports(fixture), [first]);
    fixture.receive({
      kind: 'countReportReply',
      incarnation: toIdentifier('i1'),
      sequence: 1,
    });
    fixture.tick(COUNT_REPORT_INTERVAL_MS);
    t.match(takeCountReports(fixture), [
      {sequence: 2, counts: [{totals: {answered: 1}}]},
    ]);
  },
);

t.test(
  'the latest refusals are stored, with the request if it was admitted',
  async t => {
    const fixture = createFixture();
    const post = (id: string) =>
      fixture.loop.post({kind: 'callerRefused', refusal: createRefusal(id)});
    post('r1');
    endRequest(fixture, {kind: 'refused', refusal: createRefusal('r1')});
    const {refusals} = fixture.loop.view;
    t.equal(refusals.size, 1);
    t.match(refusals.readLast()?.value, {request: {tier: 'gold'}});
    for (let index = 0; index < MAX_REFUSALS; index += 1) {
      post(`x${index}`);
    }
    t.equal(refusals.size, MAX_REFUSALS);
    t.match(refusals.readFirst()?.value, {refusal: {request: 'x0'}});
  },
);
