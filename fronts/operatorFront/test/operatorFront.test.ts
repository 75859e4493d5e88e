import {createHash} from 'node:crypto';

import {fastify} from 'fastify';
import t from 'tap';

import {createBoard} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {CommandProgress, EntryObservation} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';

import {createOperatorFront} from '../src/index.js';
import type {OperatorAccess} from '../src/index.js';

const INSECURE: OperatorAccess = {kind: 'insecure'};
const KEYS: OperatorAccess = {
  kind: 'keys',
  keys: [
    {
      operator: toIdentifier('anna'),
      digest: createHash('sha256').update('key').digest(),
    },
  ],
};

/** Creates the routes over an idle board; each command gets `progress`. */
function createFixture(
  access: OperatorAccess,
  progress: readonly CommandProgress[] = [],
) {
  const server = fastify();
  server.removeAllContentTypeParsers();
  server.addContentTypeParser(
    '*',
    {parseAs: 'buffer'},
    (_request, body, done) => done(null, body),
  );
  const observations: EntryObservation[] = [];
  const board = createBoard({
    sections: createEntrySections({
      address: {
        node: toIdentifier('n1'),
        region: toIdentifier('local'),
        domain: toIdentifier('d'),
        peer: {host: '127.0.0.1', port: 1},
        http: {host: '127.0.0.1', port: 2},
      },
      incarnation: toIdentifier('i1'),
      controlNodes: [],
    }),
  });
  const front = createOperatorFront({
    server,
    access,
    view: board.view,
    clock: createManualClock(),
    drawRequestId: () => toIdentifier('c1'),
    post: observation => {
      observations.push(observation);
      progress.forEach(step => front.answer(toIdentifier('c1'), step));
    },
  });
  return {
    observations,
    send: (path: string, body: unknown, authorization?: string) =>
      server.inject({
        method: 'POST',
        url: path,
        headers: {
          'content-type': 'application/json',
          ...(authorization === undefined ? {} : {authorization}),
        },
        payload: JSON.stringify(body),
      }),
  };
}

const ACCEPTED: CommandProgress = {
  kind: 'answered',
  answer: {
    kind: 'applied',
    number: 1,
    version: 9,
    result: {kind: 'accepted', changes: []},
  },
};

function createForce(isInForce: boolean): CommandProgress {
  return {
    kind: 'force',
    status: {
      version: 9,
      isInForce,
      unconfirmed: isInForce ? [] : [toIdentifier('n2')],
      settlingMs: 0,
    },
  };
}

t.test('accepted, in force and refused commands differ', async t => {
  const text = 'drain endpoint e1';
  const numberTaken: CommandProgress = {
    kind: 'answered',
    answer: {
      kind: 'numberTaken',
      number: 1,
      winner: toIdentifier('ben'),
      winnerDigest: 'd',
      nextFree: 4,
    },
  };
  const cases = [
    {
      name: 'in force',
      progress: [ACCEPTED, createForce(false), createForce(true)],
      body: {number: 1, text},
      status: 200,
      reply: {kind: 'inForce', version: 9},
    },
    {
      name: 'accepted',
      progress: [ACCEPTED, createForce(false)],
      body: {number: 1, text, wait: 'accepted'},
      status: 202,
      reply: {kind: 'accepted', unconfirmed: ['n2']},
    },
    {
      name: 'accepted, not in force within the wait',
      progress: [ACCEPTED, createForce(false)],
      body: {number: 1, text, wait_ms: 1},
      status: 202,
      reply: {kind: 'accepted', unconfirmed: ['n2']},
    },
    {
      name: 'number taken',
      progress: [numberTaken],
      body: {number: 1, text},
      status: 409,
      reply: {kind: 'numberTaken', winner: 'ben', nextFree: 4},
    },
    {
      name: 'no answer',
      progress: [],
      body: {number: 1, text, wait_ms: 1},
      status: 504,
      reply: {kind: 'undecided', number: 1},
    },
    {
      name: 'invalid text',
      progress: [],
      body: {number: 1, text: 'drain tier e1'},
      status: 400,
      reply: {kind: 'issue', issue: {position: {line: 1, column: 7}}},
    },
    {
      name: 'no number',
      progress: [],
      body: {text},
      status: 400,
      reply: {kind: 'malformed'},
    },
  ];
  for (const {name, progress, body, status, reply} of cases) {
    const fixture = createFixture(INSECURE, progress);
    const answer = await fixture.send('/v1/operator/commands', body);
    t.equal(answer.statusCode, status, name);
    t.match(answer.json(), reply, name);
  }
});

t.test('the key determines the operator of a command', async t => {
  const body = {number: 1, text: 'drain endpoint e1'};
  const fixture = createFixture(KEYS, [ACCEPTED, createForce(true)]);
  const refused = await fixture.send('/v1/operator/commands', body, 'Bearer x');
  t.equal(refused.statusCode, 401);
  t.strictSame(fixture.observations, []);
  await fixture.send('/v1/operator/commands', body, 'Bearer key');
  t.match(fixture.observations, [
    {kind: 'commandReceived', command: {number: 1, operator: 'anna'}},
  ]);
});

t.test('queries are answered with rows, help or issues', async t => {
  const counts: CommandProgress = {
    kind: 'queried',
    result: {kind: 'counts', counts: []},
  };
  const cases = [
    {text: 'show waiting', status: 200, reply: {kind: 'rows'}},
    {text: 'show counts', status: 200, reply: {kind: 'rows'}},
    {text: 'help', status: 200, reply: {kind: 'help'}},
    {text: 'show queues', status: 400, reply: {kind: 'issue'}},
    {text: 'show', status: 400, reply: {kind: 'issue'}},
    {text: 'drain endpoint e1', status: 400, reply: {kind: 'issue'}},
    {text: 'show tiers; show sets', status: 400, reply: {kind: 'issue'}},
  ];
  for (const {text, status, reply} of cases) {
    const fixture = createFixture(INSECURE, [counts]);
    const answer = await fixture.send('/v1/operator/query', {text});
    t.equal(answer.statusCode, status, text);
    t.match(answer.json(), reply, text);
  }
});
