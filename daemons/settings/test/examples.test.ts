import {readdirSync} from 'node:fs';
import {join} from 'node:path';

import t from 'tap';

import {readControldSettings, readEntrydSettings} from '../src/index.js';

const FOLDERS = ['examples/threeDomains', 'examples/fourDomains'] as const;

function listSettings(folder: string, prefix: string): readonly string[] {
  return readdirSync(folder)
    .filter(name => name.startsWith(prefix))
    .map(name => join(folder, name));
}

for (const folder of FOLDERS) {
  t.test(`the settings in ${folder} are accepted`, async t => {
    const entries = listSettings(folder, 'entry-').map(file =>
      readEntrydSettings({file}),
    );
    const controls = listSettings(folder, 'control-').map(file =>
      readControldSettings({file}),
    );
    t.equal(entries.length, 12);
    const nodes = [...entries, ...controls].map(settings => settings.node);
    t.equal(new Set(nodes).size, nodes.length, 'no VM is named twice');
    t.same(
      controls.map(settings => settings.node).sort(),
      entries[0]?.control.map(member => member.node).sort(),
    );
  });
}
