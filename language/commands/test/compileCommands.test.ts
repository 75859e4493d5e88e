import {assert, constantFrom, integer, property, record} from 'fast-check';
import t from 'tap';

import {parseText, printStatement} from '@gentianshunt/grammar';

import {
  compileCommands,
  formatOverview,
  formatTopic,
  HELP_TOPICS,
} from '../src/index.js';

const SEED = 20261204;
const RUNS = 200;

function compile(text: string) {
  const parsed = parseText(text);
  return parsed.kind === 'failed' ? parsed : compileCommands(parsed.statements);
}

t.test('commands compile to the commands of one batch', async t => {
  const cases = [
    {
      text: 'create tier gold rank 1 weight 4',
      commands: [
        {
          kind: 'put',
          expectedRevision: 0,
          object: {
            kind: 'tier',
            id: 'gold',
            rank: 1,
            weight: 4,
            firstTokenTargetMs: 1_000,
            objective: 0.95,
          },
        },
      ],
    },
    {
      text: 'create organisation north tiers gold, 1 max-running none',
      commands: [
        {
          object: {
            tiers: ['gold', '1'],
            weight: 1,
            limits: {maxRunning: null, maxRequestsPerSecond: null},
          },
        },
      ],
    },
    {
      text: 'create set drafts region nl-west model "draft model"',
      commands: [
        {
          object: {
            kind: 'endpointSet',
            region: 'nl-west',
            service: {kind: 'model', model: 'draft model'},
          },
        },
      ],
    },
    {
      text: 'set organisation north max-running 5 if revision = 3; delete kind old',
      commands: [
        {
          kind: 'update',
          expectedRevision: 3,
          patch: {id: 'north', fields: {limits: {maxRunning: 5}}},
        },
        {kind: 'delete', key: 'requestKind/old', expectedRevision: null},
      ],
    },
    {
      text: 'drain endpoint e7; undrain endpoint e8',
      commands: [
        {object: {kind: 'endpointPolicy', id: 'e7', state: 'draining'}},
        {object: {kind: 'endpointPolicy', id: 'e8', state: 'active'}},
      ],
    },
    {
      text: 'hold prompt-part 5C1E07A2; lift prompt-part 5c1e07a2',
      commands: [
        {object: {kind: 'promptPolicy', id: '5c1e07a2', state: 'held'}},
        {object: {kind: 'promptPolicy', id: '5c1e07a2', state: 'lifted'}},
      ],
    },
    {
      text: 'hold prompt-part request.0c4fd2a1',
      commands: [
        {object: {kind: 'promptPolicy', id: 'request.0c4fd2a1', state: 'held'}},
      ],
    },
    {
      text: 'load model m version 7 on endpoint e1; change role of endpoint e1 to prefill',
      commands: [
        {
          kind: 'order',
          directive: {kind: 'load', model: 'm', adapter: null, version: '7'},
        },
        {kind: 'order', directive: {kind: 'changeRole', role: 'prefill'}},
      ],
    },
  ];
  for (const {text, commands} of cases) {
    const compiled = compile(text);
    t.equal(compiled.kind, 'read', text);
    t.match(compiled.kind === 'read' ? compiled.result : [], commands, text);
  }
});

t.test('a semantic error is reported with its column', async t => {
  const cases = [
    {text: 'create tier gold', column: 1, message: /needs rank/},
    {text: 'create tier gold rank high', column: 18, message: /invalid value/},
    {text: 'set tier gold rank 1 rank 2', column: 22, message: /twice/},
    {text: 'set tier gold size 1', column: 15, message: /no field size/},
    {text: 'set tier gold', column: 1, message: /no field is set/},
    {text: 'create queue q', column: 1, message: /no type queue/},
    {text: 'create set s model a service b', column: 1, message: /exactly one/},
    {text: 'set set s model a service b', column: 1, message: /only one/},
    {
      text: 'drain endpoint a; show tiers',
      column: 19,
      message: /among commands/,
    },
    {
      text: `create set s model ${'m'.repeat(300)}`,
      column: 14,
      message: /invalid value/,
    },
    {text: 'load version 3 on endpoint e', column: 1, message: /needs a model/},
  ];
  for (const {text, column, message} of cases) {
    const compiled = compile(text);
    if (compiled.kind !== 'failed') {
      t.fail(text);
      continue;
    }
    t.match(compiled.issue.message, message, text);
    t.equal(compiled.issue.position.column, column, text);
  }
});

t.test('a printed command compiles to the same result', async t => {
  const commands = record({
    verb: constantFrom('create', 'set'),
    id: constantFrom('gold', '1', 'a.b-c'),
    rank: integer({min: 1, max: 9}),
    weight: integer({min: 1, max: 9_999}).map(value => value / 100),
    revision: constantFrom('', ' if revision = 4'),
  });
  assert(
    property(commands, ({verb, id, rank, weight, revision}) => {
      const text = `${verb} tier ${id} rank ${rank} weight ${weight}${revision}`;
      const parsed = parseText(text);
      t.equal(parsed.kind, 'parsed');
      const printed =
        parsed.kind === 'parsed'
          ? parsed.statements.map(printStatement).join(';')
          : '';
      t.strictSame(compile(printed), compile(text));
    }),
    {seed: SEED, numRuns: RUNS},
  );
});

t.test('every example of the help parses and compiles', async t => {
  for (const {name, examples} of HELP_TOPICS) {
    t.match(formatOverview(), name);
    t.ok(formatTopic(name));
    for (const example of examples) {
      const parsed = parseText(example);
      t.equal(parsed.kind, 'parsed', example);
      const isCommand = !/^(show|help)/.test(example);
      t.equal(!isCommand || compile(example).kind === 'read', true, example);
    }
  }
});
