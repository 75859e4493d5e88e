import t from 'tap';

import {
  buildDocument,
  buildInvalidDocument,
  canHandle,
  digestDocument,
  drawContent,
  encodeDocument,
  INVALID_FORMS,
} from '../src/index.js';
import type {
  DocumentFiller,
  DocumentPlan,
  ProbeOutcome,
  ProbeTarget,
} from '../src/index.js';
import {CONTENT} from './configurationFixture.js';

function createPlan(
  version: number,
  filler: DocumentFiller = {kind: 'none'},
): DocumentPlan {
  const content = drawContent(version);
  return {version, host: 'app.example', key: 'k-lab-1', content, filler};
}

t.test('the digest of a document leaves the order of fields alone', async t => {
  const digest = digestDocument({a: 1, b: [{c: 2, d: 3}]});
  t.equal(digestDocument({b: [{d: 3, c: 2}], a: 1}), digest);
  t.not(digestDocument({a: 1, b: [{c: 2, d: 4}]}), digest);
});

t.test('fillers make documents as large as they say', async t => {
  const cases: readonly (readonly [DocumentFiller, number, number])[] = [
    [{kind: 'none'}, 1_000, 5_000],
    [{kind: 'routes', count: 350}, 80_000, 110_000],
    [{kind: 'organisations', kilobytes: 90}, 85_000, 100_000],
    [{kind: 'organisations', kilobytes: 480}, 470_000, 490_000],
  ];
  for (const [filler, min, max] of cases) {
    const {length} = encodeDocument(buildDocument(createPlan(8, filler)));
    t.ok(length >= min && length <= max, `${filler.kind}: ${length} bytes`);
  }
});

t.test('versions differ, and a version is always the same', async t => {
  const versions = Array.from({length: 40}, (_, index) => index + 8);
  const contents = versions.map(version =>
    JSON.stringify(drawContent(version)),
  );
  t.same(
    versions.map(version => JSON.stringify(drawContent(version))),
    contents,
  );
  t.ok(new Set(contents).size > 30);
});

t.test('every invalid form differs from the valid document', async t => {
  const plan = createPlan(8);
  const valid = encodeDocument(buildDocument(plan));
  for (const form of INVALID_FORMS) {
    t.notOk(buildInvalidDocument(plan, form).equals(valid), form);
  }
});

t.test('what a content allows', async t => {
  const content = {...CONTENT, extraRoutes: [2], extraKeys: [1]};
  const run = (service: string): ProbeOutcome => ({kind: 'run', service});
  const noRoute: ProbeOutcome = {kind: 'noRoute'};
  const noKey: ProbeOutcome = {kind: 'noKey'};
  const cases: readonly (readonly [ProbeTarget, ProbeOutcome, boolean])[] = [
    [{kind: 'movingRoute'}, run('s-safe'), true],
    [{kind: 'movingRoute'}, run('s-unsafe'), false],
    [{kind: 'movingRoute'}, noRoute, false],
    [{kind: 'extraRoute', index: 2}, run('s-safe'), true],
    [{kind: 'extraRoute', index: 2}, noRoute, false],
    [{kind: 'extraRoute', index: 3}, run('s-safe'), false],
    [{kind: 'extraRoute', index: 3}, noRoute, true],
    [{kind: 'extraKey', index: 1}, run('s-safe'), true],
    [{kind: 'extraKey', index: 1}, noKey, false],
    [{kind: 'extraKey', index: 0}, run('s-safe'), false],
    [{kind: 'extraKey', index: 0}, noKey, true],
    [{kind: 'fixedRoute'}, run('s-safe'), true],
    [{kind: 'fixedRoute'}, noKey, false],
    [{kind: 'refusedRoute'}, run('s-safe'), false],
    [{kind: 'refusedRoute'}, noRoute, true],
    [{kind: 'movingRoute'}, {kind: 'undecided'}, true],
  ];
  for (const [target, outcome, isAllowed] of cases) {
    const name = `${JSON.stringify(target)} ${JSON.stringify(outcome)}`;
    t.equal(canHandle(content, target, outcome), isAllowed, name);
  }
});
