import {MAX_ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import t from 'tap';

import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createHeartbeat,
} from './fixture.js';

const ENTRIES = 5;

t.test('a change is not built anew for each entry', t => {
  const fixture = createControlFixture();
  fixture.advance(MAX_ENTRY_LEASE_MS);
  for (let index = 0; index < ENTRIES; index += 1) {
    fixture.receive(`entry-${index}`, createHeartbeat(`entry-${index}`));
  }
  fixture.takeSent();
  fixture.receive('entry-0', createCommandRequest(createCommand(1)));
  const pushes = fixture
    .takeSent()
    .map(({message}) => message)
    .filter(({kind}) => kind === 'configurationUpdate');
  t.equal(pushes.length, ENTRIES);
  t.equal(new Set(pushes).size, 1);
  t.end();
});
