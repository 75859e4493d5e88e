import type {OrganisationLimits} from '@gentianshunt/configuration';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {OrganisationId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  computeAllowance,
  computeWaitingLimit,
  limitQueues,
  refillBucket,
  spendBucket,
} from '../src/index.js';
import type {LimitedQueue} from '../src/index.js';

const ORGANISATION = toIdentifier<OrganisationId>('a');

function createLimits(
  changes: Partial<OrganisationLimits>,
): OrganisationLimits {
  return {maxRunning: null, maxRequestsPerSecond: null, ...changes};
}

function createQueue(organisation: string, count: number): LimitedQueue {
  return {queue: {organisation: toIdentifier(organisation), count}};
}

const ALLOWANCE_CASES = [
  {limits: {}, occupied: 50, tokens: null, allowed: Infinity},
  {limits: {maxRunning: 5}, occupied: 3, tokens: null, allowed: 2},
  {limits: {maxRunning: 5}, occupied: 9, tokens: null, allowed: 0},
  {limits: {maxRequestsPerSecond: 4}, occupied: 9, tokens: 1.9, allowed: 1},
  {limits: {maxRunning: 5}, occupied: 1, tokens: 0.5, allowed: 0},
] as const;

t.test('the tighter of the two limits decides', async t => {
  for (const {limits, occupied, tokens, allowed} of ALLOWANCE_CASES) {
    const bucket = tokens === null ? null : {tokens, at: 0};
    const input = {limits: createLimits(limits), occupied, bucket};
    t.equal(computeAllowance(input), allowed, JSON.stringify(limits));
  }
});

t.test('no more is granted than the rate and the burst allow', async t => {
  const perSecond = 10;
  let bucket = refillBucket(undefined, perSecond, 0);
  let granted = 0;
  for (let now = 0; now <= 5_000; now += 7) {
    bucket = refillBucket(bucket, perSecond, now);
    const count = Math.floor(bucket.tokens);
    bucket = spendBucket(bucket, count);
    granted += count;
  }
  t.ok(granted <= perSecond * (5 + 1));
  t.ok(granted >= perSecond * 5);
});

t.test('an allowance is used up by the queues in their order', async t => {
  const queues = [
    createQueue('a', 3),
    createQueue('b', 9),
    createQueue('a', 3),
  ];
  const limited = limitQueues(queues, new Map([[ORGANISATION, 4]]));
  t.same(limited, [
    createQueue('a', 3),
    createQueue('b', 9),
    createQueue('a', 1),
  ]);
});

t.test(
  'only limited organisations have a limit on waiting requests',
  async t => {
    t.equal(computeWaitingLimit(createLimits({})), Infinity);
    t.equal(computeWaitingLimit(createLimits({maxRequestsPerSecond: 0.2})), 1);
    t.equal(computeWaitingLimit(createLimits({maxRunning: 8})), 8);
  },
);
