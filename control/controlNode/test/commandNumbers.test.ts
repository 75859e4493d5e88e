import t from 'tap';

import type {LogEntry, OperatorCommand} from '@gentianshunt/messages';
import {MAX_COMMANDS} from '@gentianshunt/stateMachine';

import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createSetCommand,
  createTierCommand,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

function send(fixture: ControlFixture, command: OperatorCommand) {
  const [reply] = fixture.ask('entry-0', createCommandRequest(command));
  return reply?.kind === 'commandReply' ? reply.answer : undefined;
}

const FIRST = createCommand(1);

t.test('a number identifies one command of all operators', async t => {
  const cases = [
    {name: 'same operator, same content', command: FIRST, kind: 'applied'},
    {
      name: 'same operator, other content',
      command: createCommand(1, [createTierCommand('gold', 2)]),
      kind: 'numberTaken',
    },
    {
      name: 'other operator, same content',
      command: createCommand(1, undefined, 'ben'),
      kind: 'numberTaken',
    },
    {
      name: 'too high',
      command: createCommand(1_000_002),
      kind: 'numberTooHigh',
    },
  ] as const;
  for (const {name, command, kind} of cases) {
    const fixture = createControlFixture();
    const first = send(fixture, FIRST);
    t.equal(first?.kind, 'applied', name);
    const second = send(fixture, command);
    t.equal(second?.kind, kind, name);
    t.equal(fixture.node.view.commands.size, 1, name);
    if (second?.kind === 'applied') {
      t.strictSame(second, first, name);
    }
    if (second?.kind === 'numberTaken') {
      t.equal(second.winner, 'anna', name);
      t.equal(second.winnerDigest, FIRST.digest, name);
      t.equal(second.nextFree, 2, name);
    }
  }
});

t.test('a repeated command gets the first answer after a restart', async t => {
  const before = createControlFixture();
  const first = send(before, FIRST);
  const version = before.node.view.applied.version;
  const after = createControlFixture(before.readStored());
  t.strictSame(send(after, FIRST), first);
  t.equal(after.node.view.applied.version, version);
  const other = send(after, createCommand(1, undefined, 'ben'));
  t.equal(other?.kind, 'numberTaken');
});

t.test('of two commands with one number the first is applied', async t => {
  const command = createCommand(1, [createTierCommand('gold', 1, 0)]);
  const rival = createCommand(1, [createTierCommand('gold', 2, 0)], 'ben');
  const entries: readonly LogEntry[] = [command, rival].map(
    (command, position) => ({
      index: position + 1,
      term: 1,
      payload: {kind: 'command', command, setsInUse: []},
    }),
  );
  const fixture = createControlFixture({
    ballot: {term: 1, votedFor: null},
    entries,
  });
  t.equal(send(fixture, command)?.kind, 'applied');
  t.equal(send(fixture, rival)?.kind, 'numberTaken');
  const [tier] = fixture.node.view.configuration.values();
  t.match(tier, {rank: 1, revision: 1});
});

t.test('the command of a forgotten number is refused', async t => {
  const count = MAX_COMMANDS + 5;
  const entries: readonly LogEntry[] = Array.from(
    {length: count},
    (_, position) => ({
      index: position + 1,
      term: 1,
      payload: {
        kind: 'command',
        command: createCommand(position + 1),
        setsInUse: [],
      },
    }),
  );
  const fixture = createControlFixture({
    ballot: {term: 1, votedFor: null},
    entries,
  });
  const {view} = fixture.node;
  t.equal(view.commands.size, MAX_COMMANDS);
  t.equal(view.commandFloor, 6);
  const {version} = view.applied;
  for (const number of [1, 5]) {
    const answer = send(fixture, createCommand(number));
    t.match(answer, {kind: 'numberForgotten', nextFree: count + 1});
  }
  t.equal(view.applied.version, version);
  t.equal(send(fixture, createCommand(6))?.kind, 'applied');
  t.equal(view.history.size, MAX_COMMANDS);
});

t.test('a batch is applied as a whole or not at all', async t => {
  const gold = createTierCommand('gold', 1);
  const silver = createTierCommand('silver', 2);
  const drafts = createSetCommand('drafts');
  const cases = [
    {
      name: 'revision that differs from the current one',
      commands: [silver, createTierCommand('gold', 3, 9)],
      refusal: {kind: 'revisionMismatch', expected: 9, current: 1},
    },
    {
      name: 'rank that another tier has',
      commands: [drafts, createTierCommand('silver', 1)],
      refusal: {kind: 'rankTaken', rank: 1},
    },
    {
      name: 'deletion of the last tier',
      commands: [
        {kind: 'delete', key: 'tier/gold', expectedRevision: null} as never,
      ],
      refusal: {kind: 'lastTier', key: 'tier/gold'},
    },
    {
      name: 'deletion of an unknown tier',
      commands: [
        {kind: 'delete', key: 'tier/bronze', expectedRevision: null} as never,
      ],
      refusal: {kind: 'notFound'},
    },
  ];
  for (const {name, commands, refusal} of cases) {
    const fixture = createControlFixture();
    send(fixture, createCommand(1, [gold]));
    const {version} = fixture.node.view.applied;
    const answer = send(fixture, createCommand(2, commands));
    t.match(
      answer,
      {kind: 'applied', result: {kind: 'refused', refusal}},
      name,
    );
    t.equal(fixture.node.view.configuration.size, 1, name);
    t.equal(fixture.node.view.applied.version, version, name);
  }
});

t.test('tiers may swap their ranks in one batch', async t => {
  const fixture = createControlFixture();
  send(
    fixture,
    createCommand(1, [
      createTierCommand('gold', 1),
      createTierCommand('silver', 2),
    ]),
  );
  const answer = send(
    fixture,
    createCommand(2, [
      createTierCommand('gold', 2),
      createTierCommand('silver', 1),
    ]),
  );
  t.match(answer, {kind: 'applied', result: {kind: 'accepted'}});
});
