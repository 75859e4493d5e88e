import t from 'tap';

import {createRelayFixture} from './relayFixture.js';

const SETTLE_MS = 100;

t.test('a call with a time limit beyond every timer is not ended', async t => {
  const fixture = await createRelayFixture({timeoutMs: 1e308});
  t.teardown(() => fixture.close());
  const received = fixture.next('requestReceived');
  const answered = fixture.call('q1');
  const {attributes} = await received;
  await new Promise(resolve => setTimeout(resolve, SETTLE_MS));
  t.same(
    fixture.observations.map(({kind}) => kind),
    ['requestReceived'],
  );
  fixture.fail(attributes);
  await answered;
});
