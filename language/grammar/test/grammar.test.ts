import {
  array,
  assert,
  constant,
  constantFrom,
  integer,
  oneof,
  option,
  property,
  record,
  string,
  stringMatching,
} from 'fast-check';
import type {Arbitrary} from 'fast-check';
import t from 'tap';

import {parseText, printStatement} from '../src/index.js';
import type {Condition, Statement, Value} from '../src/index.js';

const SEED = 20261204;
const RUNS = 300;
const position = constant({line: 1, column: 1});

function createWords(): Arbitrary<string> {
  const reserved = new Set([
    'not',
    'in',
    'if',
    'on',
    'where',
    'order',
    'limit',
  ]);
  return stringMatching(/^[a-z][a-z0-9-]{0,8}$/).filter(
    word => !reserved.has(word),
  );
}

function createValues(): Arbitrary<Value> {
  return oneof(
    integer({min: -1_000_000, max: 1_000_000}).map(
      number => ({kind: 'number', number: number / 1_000 + 0}) as const,
    ),
    createWords().map(word => ({kind: 'word', word}) as const),
    stringMatching(/^[ -~äß]{0,12}$/).map(
      text => ({kind: 'text', text}) as const,
    ),
  );
}

function createConditions(depth: number): Arbitrary<Condition> {
  const leaf = oneof(
    record({
      kind: constant('compare' as const),
      column: createWords(),
      comparison: constantFrom('=', '!=', '<', '<=', '>', '>='),
      value: createValues(),
      position,
    }),
    record({
      kind: constant('in' as const),
      column: createWords(),
      values: array(createValues(), {minLength: 1, maxLength: 3}),
      position,
    }),
  );
  if (depth === 0) {
    return leaf;
  }
  const inner = createConditions(depth - 1);
  return oneof(
    leaf,
    inner.map(condition => ({kind: 'not', condition}) as const),
    record({
      kind: constantFrom('and' as const, 'or' as const),
      left: inner,
      right: inner,
    }),
  );
}

function createStatements(): Arbitrary<Statement> {
  const settings = array(
    record({
      field: createWords(),
      values: array(createValues(), {minLength: 1, maxLength: 3}),
      position,
    }),
    {maxLength: 3},
  );
  const revision = option(integer({min: 0, max: 1_000_000}), {nil: null});
  return oneof(
    record({
      kind: constant('show' as const),
      table: createWords(),
      where: option(createConditions(2), {nil: null}),
      orderBy: option(
        record({
          column: createWords(),
          direction: constantFrom('asc' as const, 'desc' as const),
          position,
        }),
        {nil: null},
      ),
      limit: option(integer({min: 0, max: 1_000}), {nil: null}),
      position,
    }),
    record({
      kind: constantFrom('create' as const, 'set' as const),
      type: createWords(),
      id: createWords(),
      settings,
      revision,
      position,
    }),
    record({
      kind: constantFrom('hold' as const, 'lift' as const),
      type: constant('prompt-part'),
      id: createWords(),
      settings: constant([]),
      revision,
      position,
    }),
    record({
      kind: constantFrom('drain' as const, 'undrain' as const),
      type: constant('endpoint'),
      id: createWords(),
      settings: constant([]),
      revision,
      position,
    }),
  );
}

/** Removes positions, which depend on the layout that printing changes. */
function dropPositions(value: unknown): unknown {
  return JSON.parse(
    JSON.stringify(value, (key, field: unknown) =>
      key === 'position' ? undefined : field,
    ),
  );
}

t.test('printed statements parse to the same statements', async t => {
  assert(
    property(
      array(createStatements(), {minLength: 1, maxLength: 4}),
      statements => {
        const text = statements.map(printStatement).join('; ');
        const result = parseText(text);
        t.equal(result.kind, 'parsed', text);
        if (result.kind === 'parsed') {
          t.strictSame(
            dropPositions(result.statements),
            dropPositions(statements),
          );
        }
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});

t.test('malformed text returns an issue and does not throw', async t => {
  const fragments = constantFrom(
    'show',
    'where',
    '(',
    ')',
    'not',
    'and',
    '=',
    '"',
    '\\',
    ';',
    ',',
    'order by',
    'limit',
    'if revision =',
    '-',
    '1',
    'tier',
    'ß',
    '\n',
    '#',
  );
  assert(
    property(
      oneof(
        string(),
        array(fragments, {maxLength: 30}).map(parts => parts.join(' ')),
      ),
      text => {
        t.ok(['parsed', 'failed'].includes(parseText(text).kind));
      },
    ),
    {seed: SEED, numRuns: RUNS},
  );
});

t.test('an issue holds line, column and the expected tokens', async t => {
  const cases = [
    {text: 'show', line: 1, column: 5, expected: 'word'},
    {
      text: 'show tiers\nwhere weight 4',
      line: 2,
      column: 14,
      expected: 'comparison',
    },
    {
      text: 'show tiers limit many',
      line: 1,
      column: 18,
      expected: 'whole number',
    },
    {text: 'create tier gold rank', line: 1, column: 22, expected: 'value'},
    {text: 'drain tier gold', line: 1, column: 7, expected: 'endpoint'},
    {text: 'show tiers; frob', line: 1, column: 13, expected: 'create'},
  ];
  for (const {text, line, column, expected} of cases) {
    const result = parseText(text);
    if (result.kind !== 'failed') {
      t.fail(text);
      continue;
    }
    t.strictSame(result.issue.position, {line, column}, text);
    t.ok(
      result.issue.expected.includes(expected),
      `${text}: ${result.issue.expected.join(' ')}`,
    );
  }
});

t.test(
  'nesting depth, number of conditions and length are limited',
  async t => {
    const cases = [
      `show a where ${'('.repeat(100_000)}`,
      `show a where ${'not '.repeat(50_000)}b = 1`,
      `show a where b = 1${' or b = 1'.repeat(1_000)}`,
      'x'.repeat(300_000),
    ];
    for (const text of cases) {
      t.equal(parseText(text).kind, 'failed');
    }
  },
);
