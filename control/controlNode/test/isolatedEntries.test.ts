import {MAX_ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import t from 'tap';

import type {DirectoryVersion} from '@gentianshunt/messages';

import {createControlFixture, createHeartbeat} from './fixture.js';
import type {ControlFixture, Heartbeat} from './fixture.js';

/** Sends a heartbeat and returns the directory update of its reply. */
function askDirectory(
  fixture: ControlFixture,
  node: string,
  changes: Partial<Heartbeat> = {},
) {
  const reply = fixture.ask(node, createHeartbeat(node, changes)).at(-1);
  return reply?.kind === 'configurationUpdate' ? reply.directory : null;
}

t.test('other entries are not told which one reaches no endpoint', async t => {
  const fixture = createControlFixture();
  fixture.advance(MAX_ENTRY_LEASE_MS);
  askDirectory(fixture, 'entry-1');
  const first = askDirectory(fixture, 'entry-0');
  const directoryVersion: DirectoryVersion | undefined =
    first?.kind === 'replace' ? first.directory.version : undefined;
  askDirectory(fixture, 'entry-1', {sequence: 2, isIsolated: true});
  const known = directoryVersion === undefined ? {} : {directoryVersion};
  t.match(askDirectory(fixture, 'entry-0', {sequence: 2, ...known}), {
    kind: 'delta',
    changes: [{entry: {address: {node: 'entry-1'}, isIsolated: true}}],
  });
  askDirectory(fixture, 'entry-1', {sequence: 3});
  const all = askDirectory(fixture, 'entry-2');
  t.match(all, {kind: 'replace'});
  t.notOk(JSON.stringify(all).includes('isIsolated'), 'it is back');
});
