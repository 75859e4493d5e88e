import t from 'tap';

import {
  LARGE_DOCUMENT,
  LARGE_DOCUMENT_BYTES,
  countBytes,
  createReplacement,
  createReplacementRequest,
} from './documentFixture.js';
import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createTierCommand,
} from './fixture.js';

/** Most bytes of changes that are kept for lagging entries. */
const HISTORY_BYTES = 2 * 1_024 * 1_024;

t.test('the history of many large documents does not outgrow its bound', t => {
  const fixture = createControlFixture();
  for (let version = 1; version <= 60; version += 1) {
    const replacement = createReplacement(version);
    fixture.ask('entry-0', createReplacementRequest(replacement));
  }
  const kept = [...fixture.node.view.history.iterateFrom()];
  const bytes = countBytes(kept.map(({value}) => value));
  t.equal(fixture.node.view.source.version, 60);
  t.ok(bytes <= HISTORY_BYTES + LARGE_DOCUMENT_BYTES, `${bytes} bytes`);
  t.end();
});

t.test('a small change of a very large document is sent alone', t => {
  const fixture = createControlFixture();
  const size = {...LARGE_DOCUMENT, organisations: 3_000};
  const replacement = createReplacement(1, size);
  fixture.ask('entry-0', createReplacementRequest(replacement));
  const {version} = fixture.node.view.applied;
  const command = createCommand(1, [createTierCommand('silver', 2)]);
  fixture.ask('entry-0', createCommandRequest(command));
  t.equal(fixture.node.view.history.has(version), true);
  t.end();
});
