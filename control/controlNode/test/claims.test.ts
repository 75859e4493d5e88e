import t from 'tap';

import {
  MAX_ENTRY_LEASE_MS,
  MAX_ADMITTED_CLAIMS,
  MIN_CLAIM_RETRY_MS,
} from '@gentianshunt/entrySessions';
import type {
  ClaimKey,
  ClaimOutcome,
  ControlToEntry,
  EntryToControl,
  LogEntry,
} from '@gentianshunt/messages';
import {CLAIM_RETENTION_MS, MAX_ANSWER_BYTES} from '@gentianshunt/stateMachine';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {RequestId} from '@gentianshunt/identifiers';

import {LOW_LOG_BOUNDS} from './documentFixture.js';
import {
  createControlFixture,
  createHeartbeat,
  NOTHING_STORED,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

const KEY: ClaimKey = {
  organisation: toIdentifier('north'),
  idempotencyKey: 'k1',
};
const ANSWERED: ClaimOutcome = {
  kind: 'answered',
  status: 200,
  contentType: 'text/plain',
  body: new Uint8Array([1, 2]),
};

function createClaim(request: string, digest = 'd'): EntryToControl {
  return {
    kind: 'claimRequest',
    key: KEY,
    digest,
    request: toIdentifier(request),
  };
}

function createCompletion(
  request: string,
  outcome: ClaimOutcome,
): EntryToControl {
  return {
    kind: 'settleRequest',
    key: KEY,
    request: toIdentifier(request),
    outcome,
  };
}

function readAnswer(replies: readonly ControlToEntry[]) {
  const [reply] = replies;
  return reply?.kind === 'claimReply' ? reply.answer : reply;
}

function createFixture(): ControlFixture {
  const fixture = createControlFixture();
  for (const node of ['e0', 'e1']) {
    fixture.receive(node, createHeartbeat(node));
  }
  return fixture;
}

t.test('only one request gets the claim on a key', async t => {
  const cases = [
    {
      name: 'the same request, resent',
      message: createClaim('r1'),
      kind: 'granted',
    },
    {
      name: 'the same content under another request',
      message: createClaim('r2'),
      kind: 'running',
    },
    {
      name: 'other content under the same key',
      message: createClaim('r2', 'other'),
      kind: 'digestMismatch',
    },
  ];
  for (const {name, message, kind} of cases) {
    const fixture = createFixture();
    t.match(readAnswer(fixture.ask('e0', createClaim('r1'))), {
      kind: 'granted',
    });
    t.match(readAnswer(fixture.ask('e1', message)), {kind}, name);
  }
});

t.test('a completed claim is confirmed and answers later requests', async t => {
  const cases = [
    {outcome: ANSWERED, answer: {kind: 'settled', outcome: ANSWERED}},
    {
      outcome: {...ANSWERED, body: new Uint8Array(MAX_ANSWER_BYTES + 1)},
      answer: {kind: 'settled', outcome: {kind: 'answeredNotKept'}},
    },
    {
      outcome: {kind: 'unknown'},
      answer: {kind: 'settled', outcome: {kind: 'unknown'}},
    },
    {outcome: {kind: 'notRun'}, answer: {kind: 'granted'}},
  ] as const;
  for (const {outcome, answer} of cases) {
    const fixture = createFixture();
    fixture.ask('e0', createClaim('r1'));
    const [reply] = fixture.ask('e0', createCompletion('r1', outcome));
    t.equal(reply?.kind, 'settleReply', outcome.kind);
    const [again] = fixture.ask('e0', createCompletion('r1', outcome));
    t.equal(again?.kind, 'settleReply', `${outcome.kind}, sent again`);
    t.match(readAnswer(fixture.ask('e1', createClaim('r2'))), answer);
  }
});

t.test('at the limit new claims are refused and old ones kept', async t => {
  const entries: readonly LogEntry[] = Array.from(
    {length: MAX_ADMITTED_CLAIMS},
    (_, position) => ({
      index: position + 1,
      term: 1,
      payload: {
        kind: 'claim',
        key: {...KEY, idempotencyKey: `old-${position}`},
        digest: 'd',
        node: toIdentifier('e0'),
        incarnation: toIdentifier('e0-1'),
        request: toIdentifier(`old-${position}`),
        atMs: 0,
      },
    }),
  );
  const fixture = createControlFixture({
    ballot: {term: 1, votedFor: null},
    entries,
  });
  fixture.receive('e0', createHeartbeat('e0'));
  t.strictSame(readAnswer(fixture.ask('e0', createClaim('r1'))), {
    kind: 'full',
    retryAfterMs: MIN_CLAIM_RETRY_MS,
  });
  t.equal(fixture.node.view.claims.size, MAX_ADMITTED_CLAIMS);
  const completion: EntryToControl = {
    kind: 'settleRequest',
    key: {...KEY, idempotencyKey: 'old-7'},
    request: toIdentifier('old-7'),
    outcome: ANSWERED,
  };
  fixture.ask('e0', completion);
  t.match(readAnswer(fixture.ask('e0', createClaim('r1'))), {
    kind: 'full',
    retryAfterMs: CLAIM_RETENTION_MS,
  });
  fixture.advance(CLAIM_RETENTION_MS);
  fixture.receive('e0', createHeartbeat('e0'));
  fixture.advance(1);
  t.match(readAnswer(fixture.ask('e0', createClaim('r1'))), {kind: 'granted'});
});

t.test('claims survive a restart of the control daemon', async t => {
  const before = createFixture();
  before.ask('e0', createClaim('r1'));
  before.ask('e0', createCompletion('r1', ANSWERED));
  const after = createControlFixture(before.readStored());
  t.match(readAnswer(after.ask('e1', createClaim('r2'))), {kind: 'settled'});
});

t.test('a restart of an entry ends its running claims', async t => {
  const fixture = createFixture();
  fixture.ask('e0', createClaim('r1'));
  fixture.receive(
    'e0',
    createHeartbeat('e0', {incarnation: toIdentifier('e0-2')}),
  );
  t.match(readAnswer(fixture.ask('e1', createClaim('r2'))), {
    kind: 'settled',
    outcome: {kind: 'unknown'},
  });
});

t.test('an entry whose lease expired may still report an outcome', async t => {
  const fixture = createFixture();
  fixture.ask('e0', createClaim('r1'));
  fixture.advance(MAX_ENTRY_LEASE_MS);
  fixture.advance(1);
  fixture.receive('e1', createHeartbeat('e1'));
  t.match(readAnswer(fixture.ask('e1', createClaim('r2'))), {
    outcome: {kind: 'unknown'},
  });
  fixture.ask('e0', createCompletion('r1', ANSWERED));
  t.match(readAnswer(fixture.ask('e1', createClaim('r2'))), {
    outcome: {kind: 'answered'},
  });
});

t.test('a completed claim expires, a running one never does', async t => {
  const cases = [
    {name: 'completed', isCompleted: true, size: 0},
    {name: 'running', isCompleted: false, size: 1},
  ];
  for (const {name, isCompleted, size} of cases) {
    const fixture = createFixture();
    fixture.ask('e0', createClaim('r1'));
    if (isCompleted) {
      fixture.ask('e0', createCompletion('r1', ANSWERED));
    }
    fixture.clock.advance(CLAIM_RETENTION_MS);
    fixture.receive('e0', createHeartbeat('e0'));
    fixture.advance(1);
    t.equal(fixture.node.view.claims.size, size, name);
    t.equal(fixture.node.view.claimUsage.claims, size, name);
    t.equal(fixture.node.view.claimUsage.answerBytes, 0, name);
  }
});

t.test('stored answers do not exceed what the leader has room for', async t => {
  const fixture = createControlFixture(NOTHING_STORED, {
    logBounds: LOW_LOG_BOUNDS,
  });
  fixture.receive('e0', createHeartbeat('e0'));
  const {answerBytes} = LOW_LOG_BOUNDS;
  const body = new Uint8Array(MAX_ANSWER_BYTES);
  for (
    let number = 0;
    number * body.byteLength < 2 * answerBytes;
    number += 1
  ) {
    const key = {...KEY, idempotencyKey: `k${number}`};
    const request = toIdentifier<RequestId>(`r${number}`);
    fixture.ask('e0', {kind: 'claimRequest', key, digest: 'd', request});
    const outcome = {...ANSWERED, body};
    const [reply] = fixture.ask('e0', {
      kind: 'settleRequest',
      key,
      request,
      outcome,
    });
    t.equal(reply?.kind, 'settleReply');
  }
  t.equal(fixture.node.view.claimUsage.answerBytes, answerBytes);
});
