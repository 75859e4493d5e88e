import {mkdtempSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

import t from 'tap';

import {readEntrydSettings, SettingsError} from '../src/index.js';

const VALID_LINES = [
  'node = "entry-1"',
  'domain = "a"',
  'peer = { host = "127.0.0.1", port = 7000 }',
  'http = { host = "127.0.0.1", port = 8080 }',
  'insecure_operators = true',
  '[[control]]',
  'node = "control-1"',
  'peer = { host = "127.0.0.1", port = 7001 }',
] as const;

/** Writes settings with one line replaced, or added if `line` is null. */
function writeSettings(line: number | null, text: string): string {
  const folder = mkdtempSync(join(tmpdir(), 'settings-'));
  const file = join(folder, 'entry.toml');
  const lines: string[] = [...VALID_LINES];
  if (line === null) {
    lines.push(text);
  } else {
    lines[line - 1] = text;
  }
  writeFileSync(file, lines.join('\n'));
  return file;
}

const INVALID_SETTINGS = [
  {
    name: 'unknown key',
    line: 2,
    text: 'domain = "a"\ncolour = 1',
    expected: /:3: colour: unknown key/,
  },
  {
    name: 'text for a port',
    line: 4,
    text: 'http = { host = "127.0.0.1", port = "80s" }',
    expected: /:\d+: http.port/,
  },
  {
    name: 'host name for an IP address',
    line: 3,
    text: 'peer = { host = "here", port = 1 }',
    expected: /peer.host: must be an IP address/,
  },
  {name: 'missing http address', line: 4, text: '', expected: /http/},
  {name: 'invalid TOML', line: 1, text: 'node = = 1', expected: /:1: /},
  {
    name: 'VM named twice',
    line: null,
    text: '[[control]]\nnode = "control-1"\npeer = { host = "127.0.0.1", port = 7002 }',
    expected: /:10: control.node: VM control-1 is listed twice/,
  },
] as const;

for (const {name, line, text, expected} of INVALID_SETTINGS) {
  t.test(`${name} is refused with file, line and key`, async t => {
    const file = writeSettings(line, text);
    t.throws(() => readEntrydSettings({file}), SettingsError);
    try {
      readEntrydSettings({file});
    } catch (error) {
      t.match((error as Error).message, expected);
      t.match((error as Error).message, file);
    }
  });
}

t.test('valid settings are accepted', async t => {
  const settings = readEntrydSettings({file: writeSettings(null, '')});
  t.equal(settings.node, 'entry-1');
});
