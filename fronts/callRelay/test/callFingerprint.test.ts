import {createEmptyBody} from '@gentianshunt/requestBodies';
import t from 'tap';

import {digestCall} from '../src/callFingerprint.js';
import type {FingerprintedCall} from '../src/callFingerprint.js';
import {createRelayFixture} from './relayFixture.js';

function createCall(
  changed: Partial<FingerprintedCall['head']> = {},
  key: string | null = 'k1',
  host = 'a.example',
): FingerprintedCall {
  return {
    head: {method: 'GET', url: '/x/1?q=2', headers: [], ...changed},
    attributes: {host, key},
    body: createEmptyBody(),
  };
}

t.test('repeats of a call have the same fingerprint', async t => {
  const first = digestCall(createCall());
  const headers = ['Idempotency-Key', 'k-2', 'X-Deadline', '5'];
  t.equal(digestCall(createCall({headers})), first, 'other headers');
  const others = [
    createCall({method: 'POST'}),
    createCall({url: '/x/1?q=3'}),
    createCall({}, 'k2'),
    createCall({}, null),
    createCall({}, 'k1', 'b.example'),
  ].map(digestCall);
  t.equal(new Set([first, ...others]).size, 6, 'others differ');
});

t.test(
  'a call is posted with a fingerprint that its id is no part of',
  async t => {
    const fixture = await createRelayFixture();
    const fingerprints: unknown[] = [];
    for (const id of ['q1', 'q2']) {
      const received = fixture.next('requestReceived');
      const answered = fixture.call(id);
      const {attributes} = await received;
      fingerprints.push(attributes.requestFingerprint);
      fixture.fail(attributes);
      await answered;
    }
    t.type(fingerprints[0], 'string');
    t.equal(fingerprints[0], fingerprints[1]);
    await fixture.close();
  },
);
