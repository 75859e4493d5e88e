import {createLoopMonitor, createSystemClock} from '@gentianshunt/runtime';
import t from 'tap';

import {
  createRawEndpoint,
  createRelayFixture,
  describeEnd,
} from './relayFixture.js';
import type {RelayFixture, RelayFixtureOptions} from './relayFixture.js';

function throwError(): never {
  throw new TypeError('unexpected');
}

/** Creates a relay with a real event loop, whose actions run in later turns. */
async function createFixture(
  protocol: RelayFixtureOptions['protocol'] & object,
): Promise<RelayFixture> {
  const clock = createSystemClock();
  const loop = createLoopMonitor({clock});
  return createRelayFixture({clock, loop, protocol});
}

t.test('an error while a call is read ends this call only', async t => {
  const fixture = await createFixture({readCall: throwError});
  for (const id of ['q1', 'q2']) {
    t.match(await fixture.call(id), {status: 500, isWhole: true});
  }
  t.match(fixture.steps, [{kind: 'callFailed'}, {kind: 'callFailed'}]);
  t.same(fixture.observations, []);
  await fixture.close();
});

t.test('an error while a call is sent ends this call only', async t => {
  const fixture = await createFixture({listEndpointHeaders: throwError});
  const endpoint = await createRawEndpoint(() => undefined);
  for (const id of ['q1', 'q2']) {
    const received = fixture.next('requestReceived');
    const answered = fixture.call(id);
    const {attributes} = await received;
    const ended = fixture.next('streamEnded');
    fixture.dispatch(attributes, endpoint.url);
    t.equal(describeEnd((await ended).end), 'cut');
    fixture.fail(attributes);
    t.match(await answered, {status: 502});
  }
  t.same(endpoint.heads, []);
  endpoint.close();
  await fixture.close();
});
