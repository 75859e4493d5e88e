import {writeFileSync} from 'node:fs';
import {join} from 'node:path';

import t from 'tap';

import {readEntrydSettings, readOperatorKeys} from '../src/index.js';

const DIGEST = 'ab'.repeat(32);

function createLines(extra: readonly string[]): string {
  return [
    'node = "entry-0"',
    'domain = "a"',
    'peer = { host = "127.0.0.1", port = 1 }',
    'http = { host = "127.0.0.1", port = 2 }',
    ...extra,
    '[[control]]',
    'node = "control-0"',
    'peer = { host = "127.0.0.1", port = 3 }',
  ].join('\n');
}

t.test(
  'an entry needs an operator keys file or insecure_operators',
  async t => {
    const folder = t.testdir();
    const cases = [
      {extra: [], message: /operator_keys_file/},
      {extra: ['insecure_operators = false'], message: /operator_keys_file/},
      {extra: ['insecure_operators = true'], message: null},
      {extra: ['operator_keys_file = "keys.toml"'], message: null},
    ];
    for (const {extra, message} of cases) {
      const file = join(folder, 'entryd.toml');
      writeFileSync(file, createLines(extra));
      if (message === null) {
        t.equal(readEntrydSettings({file}).region, 'local', extra.join());
      } else {
        t.throws(
          () => readEntrydSettings({file}),
          {code: 'ERR_SETTINGS', message},
          extra.join(),
        );
      }
    }
  },
);

t.test('only valid operator names and digests are accepted', async t => {
  const folder = t.testdir();
  const file = join(folder, 'keys.toml');
  const cases = [
    {
      text: `[[operator]]\nname = "anna"\nkey_sha256 = "${DIGEST}"`,
      fails: false,
    },
    {text: '[[operator]]\nname = "anna"\nkey_sha256 = "secret"', fails: true},
    {text: `[[operator]]\nname = "a b"\nkey_sha256 = "${DIGEST}"`, fails: true},
    {text: '', fails: true},
    {text: '[[operator', fails: true},
  ];
  for (const {text, fails} of cases) {
    writeFileSync(file, text);
    if (fails) {
      t.throws(() => readOperatorKeys({file}), {code: 'ERR_SETTINGS'}, text);
    } else {
      t.match(readOperatorKeys({file}), [{operator: 'anna'}], text);
    }
  }
  t.throws(() => readOperatorKeys({file: join(folder, 'none.toml')}), {
    code: 'ERR_SETTINGS',
  });
});
