import type {ConfigurationObject} from '@gentianshunt/configuration';
import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {createRelayFixture, listObjects} from './relayFixture.js';
import type {RelayFixture} from './relayFixture.js';

const TIMEOUT_MS = 5_000;
const KEYS = [null, 'k-kept', 'k-changed', 'k-never'] as const;
type Key = (typeof KEYS)[number];

/** A configuration whose only route accepts calls without a key or not. */
interface KeySetting {
  readonly isOpen: boolean;
  /** Keys in force; `null` if callers have none. */
  readonly keys: readonly string[] | null;
}

const SETTINGS: readonly KeySetting[] = [
  {isOpen: true, keys: ['k-kept']},
  {isOpen: true, keys: ['k-kept', 'k-changed']},
  {isOpen: false, keys: ['k-kept']},
  {isOpen: false, keys: ['k-kept', 'k-changed']},
  {isOpen: true, keys: null},
];

function createObjects({
  isOpen,
  keys,
}: KeySetting): readonly ConfigurationObject[] {
  const lab: ConfigurationObject = {
    kind: 'organisation',
    id: toIdentifier('lab'),
    revision: 1,
    weight: 1,
    tiers: [],
    limits: {maxRunning: null, maxRequestsPerSecond: null},
    keys: keys ?? [],
  };
  const objects = listObjects(TIMEOUT_MS).map(object => {
    switch (object.kind) {
      case 'route':
        return {...object, isAnonymous: isOpen};
      case 'release':
        return {
          ...object,
          callerKeys: keys === null ? 'ignored' : 'checked',
        } as const;
      default:
        return object;
    }
  });
  return [...objects, lab];
}

function pickExpected(
  {isOpen, keys}: KeySetting,
  key: Key,
  isInTouch: boolean,
): string {
  if (keys === null || (key === null && isOpen)) {
    return 'anonymous';
  }
  if (key !== null && keys.includes(key)) {
    return 'lab';
  }
  return isInTouch ? 'unknownKey' : 'noLease';
}

/** Returns the organisation of a call, or why it is refused. */
async function sendWithKey(
  fixture: RelayFixture,
  id: string,
  key: Key,
): Promise<string> {
  const received = fixture.next('requestReceived');
  const headers = key === null ? {} : {'x-key': key};
  const answered = fixture.call(id, undefined, headers);
  const first = await Promise.race([received, answered]);
  if ('kind' in first) {
    fixture.fail(first.attributes);
    await answered;
    return first.attributes.organisation;
  }
  return 'body' in first ? first.body : first.message;
}

// Guards against review/9, and against a right that outlives the configuration that
// gave it: each pair of configurations, in touch with the control group or not.
t.test('a call has the rights of the newest configuration', async t => {
  const fixture = await createRelayFixture({timeoutMs: TIMEOUT_MS});
  t.teardown(() => fixture.close());
  let calls = 0;
  for (const before of SETTINGS) {
    for (const after of SETTINGS) {
      for (const isInTouch of [true, false]) {
        for (const key of KEYS) {
          for (const setting of [before, after]) {
            fixture.replaceConfiguration(createObjects(setting));
            fixture.setLease(isInTouch);
            calls += 1;
            t.equal(
              await sendWithKey(fixture, `q${calls}`, key),
              pickExpected(setting, key, isInTouch),
              JSON.stringify({before, after, isInTouch, key}),
            );
          }
        }
      }
    }
  }
});
