import t from 'tap';

import {parseText} from '@gentianshunt/grammar';

import {formatResult, listRecords, runQuery, TABLES} from '../src/index.js';
import type {Cell, Column, QueryOutcome} from '../src/index.js';

const COLUMNS: readonly Column[] = [
  {name: 'name', form: 'text'},
  {name: 'rank', form: 'number'},
  {name: 'draining', form: 'boolean'},
];
const ROWS: readonly (readonly Cell[])[] = [
  ['gold', 1, false],
  ['silver', 2, true],
  ['bronze', null, false],
];

function run(clauses: string): QueryOutcome {
  const parsed = parseText(`show tiers ${clauses}`);
  const [statement] = parsed.kind === 'parsed' ? parsed.statements : [];
  if (statement?.kind !== 'show') {
    throw new Error(`not a query: ${clauses}`);
  }
  return runQuery({statement, columns: COLUMNS, rows: ROWS});
}

function listNames(outcome: QueryOutcome): readonly Cell[] {
  return outcome.kind === 'selected'
    ? outcome.result.rows.map(row => row[0]!)
    : [];
}

t.test('conditions, ordering and limit select rows', async t => {
  const cases = [
    {clauses: '', names: ['gold', 'silver', 'bronze']},
    {clauses: 'where name = gold', names: ['gold']},
    {clauses: 'where name != gold and draining = true', names: ['silver']},
    {clauses: 'where rank >= 1', names: ['gold', 'silver']},
    {clauses: 'where rank = none', names: ['bronze']},
    {clauses: 'where not rank < 2', names: ['silver', 'bronze']},
    {clauses: 'where name in (gold, bronze)', names: ['gold', 'bronze']},
    {
      clauses: 'where name = gold or rank = 2 and draining = false',
      names: ['gold'],
    },
    {
      clauses: 'where (name = gold or rank = 2) and draining = true',
      names: ['silver'],
    },
    {clauses: 'order by rank desc', names: ['silver', 'gold', 'bronze']},
    {clauses: 'order by name limit 2', names: ['bronze', 'gold']},
  ];
  for (const {clauses, names} of cases) {
    t.strictSame(listNames(run(clauses)), names, clauses);
  }
});

t.test(
  'unknown columns and invalid values are reported with their column',
  async t => {
    const cases = [
      {clauses: 'where size = 1', column: 18, expected: 'rank'},
      {clauses: 'where rank = gold', column: 18, expected: 'number'},
      {clauses: 'where draining = 3', column: 18, expected: 'boolean'},
      {clauses: 'order by size', column: 12, expected: 'name'},
    ];
    for (const {clauses, column, expected} of cases) {
      const outcome = run(clauses);
      if (outcome.kind !== 'failed') {
        t.fail(clauses);
        continue;
      }
      t.equal(outcome.issue.position.column, column, clauses);
      t.ok(outcome.issue.expected.includes(expected), clauses);
    }
  },
);

t.test('results are formatted as a table and as records', async t => {
  const outcome = run('order by rank desc limit 2');
  if (outcome.kind !== 'selected') {
    t.fail('not selected');
    return;
  }
  t.equal(
    formatResult(outcome.result),
    [
      'name    rank  draining',
      'silver  2     true',
      'gold    1     false',
      '(2 rows, 1 left out)',
    ].join('\n'),
  );
  t.strictSame(listRecords(outcome.result)[0], {
    name: 'silver',
    rank: 2,
    draining: true,
  });
});

t.test('table and column names parse as words of the language', async t => {
  for (const {name, columns} of TABLES) {
    for (const column of columns) {
      const text = `show ${name} where ${column.name} = none order by ${column.name}`;
      t.equal(parseText(text).kind, 'parsed', text);
    }
  }
});
