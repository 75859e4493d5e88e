import t from 'tap';

import {
  addHeldBytes,
  admitClaim,
  createAccount,
  dropClaim,
  expireClaims,
  isFull,
  planMemory,
  releaseBytes,
  SMALL_BODY_BYTES,
  takeFreeBytes,
} from '../src/index.js';
import type {AccountState, MemoryClaim, WantedBytes} from '../src/index.js';

const BUDGET = 16 * SMALL_BODY_BYTES;
const LARGE = 4 * SMALL_BODY_BYTES;

function createWanted(
  kind: MemoryClaim['kind'],
  bytes: number,
  ownBytes = 0,
): WantedBytes {
  return {kind, bytes, ownBytes};
}

function createClaim(
  id: number,
  changes: Partial<MemoryClaim> = {},
): MemoryClaim {
  return {
    ...createWanted('large', LARGE),
    id,
    rank: 1,
    refuseAt: 100,
    ...changes,
  };
}

/** Creates an account with three quarters in use and claims that wait. */
function createBusyAccount(claims: readonly MemoryClaim[]): AccountState {
  return claims.reduce(
    (state, claim) => admitClaim(state, claim).state,
    addHeldBytes(createAccount(BUDGET), (BUDGET * 3) / 4),
  );
}

t.test('large bodies leave a part of the budget to small ones', async t => {
  const state = createBusyAccount([]);
  t.equal(takeFreeBytes(state, createWanted('large', LARGE)), undefined);
  t.equal(takeFreeBytes(state, createWanted('growth', 1)), undefined);
  t.ok(takeFreeBytes(state, createWanted('small', SMALL_BODY_BYTES)));
  t.notOk(isFull(state));
});

// Guards against bodies of unknown length that wait for what they hold themselves.
t.test('the only body under way may grow beyond the budget', async t => {
  const state = addHeldBytes(createAccount(BUDGET), SMALL_BODY_BYTES);
  const own = createWanted('growth', BUDGET, SMALL_BODY_BYTES);
  t.ok(takeFreeBytes(state, own));
  const busy = addHeldBytes(state, 1);
  t.equal(takeFreeBytes(busy, own), undefined);
});

t.test('free memory goes by tier, then by age', async t => {
  const state = createBusyAccount([
    createClaim(1, {rank: 2}),
    createClaim(2),
    createClaim(3),
  ]);
  const first = releaseBytes(state, LARGE);
  t.same(first.decisions, [{kind: 'granted', claim: 2}]);
  const second = releaseBytes(first.state, 2 * LARGE);
  t.same(second.decisions, [
    {kind: 'granted', claim: 3},
    {kind: 'granted', claim: 1},
  ]);
});

t.test('a body under way goes before new ones of any tier', async t => {
  const state = createBusyAccount([
    createClaim(1),
    createClaim(2, {kind: 'growth', rank: 9}),
  ]);
  t.match(releaseBytes(state, LARGE).decisions, [{claim: 2}]);
});

t.test('no new body overtakes one that waits', async t => {
  const waiting = createBusyAccount([createClaim(1, {bytes: 2 * LARGE})]);
  const {state} = releaseBytes(waiting, LARGE);
  t.equal(takeFreeBytes(state, createWanted('large', 1)), undefined);
  t.ok(takeFreeBytes(state, createWanted('small', 1)));
});

t.test('of too many that wait the lowest tier is refused', async t => {
  const state = {
    ...createBusyAccount([createClaim(1, {rank: 2})]),
    maxWaiting: 1,
  };
  const better = admitClaim(state, createClaim(2));
  t.same(better.decisions, [{kind: 'refused', claim: 1}]);
  const worse = admitClaim(better.state, createClaim(3, {rank: 3}));
  t.same(worse.decisions, [{kind: 'refused', claim: 3}]);
});

t.test('claims are refused at their time, others go on', async t => {
  const state = createBusyAccount([
    createClaim(1, {refuseAt: 50}),
    createClaim(2),
  ]);
  const {state: later, decisions} = expireClaims(state, 50);
  t.same(decisions, [{kind: 'refused', claim: 1}]);
  t.match(releaseBytes(later, LARGE).decisions, [{claim: 2}]);
});

t.test('a dropped claim lets those behind it pass', async t => {
  const state = createBusyAccount([
    createClaim(1, {bytes: BUDGET}),
    createClaim(2, {bytes: LARGE}),
  ]);
  const {state: freed} = releaseBytes(state, LARGE);
  t.same(dropClaim(freed, 1).decisions, [{kind: 'granted', claim: 2}]);
});

t.test('a body beyond the budget is held alone', async t => {
  const empty = createAccount(BUDGET);
  t.ok(takeFreeBytes(empty, createWanted('large', 2 * BUDGET)));
  const busy = addHeldBytes(empty, 1);
  t.equal(takeFreeBytes(busy, createWanted('large', 2 * BUDGET)), undefined);
});

t.test('the parts of a plan stay under the memory of the process', async t => {
  for (const megabytes of [150, 178, 200, 350, 1_024]) {
    const bytes = megabytes * 1_024 * 1_024;
    const plan = planMemory(bytes);
    const sum =
      plan.callerBytes +
      plan.documentBytes +
      plan.managementBytes +
      plan.controlBytes +
      plan.peerLinkBytes;
    t.ok(sum < bytes * 0.75, `${megabytes} MB`);
  }
});

t.test('a process of 350 MB takes the largest document', async t => {
  const {maxDocumentBytes} = planMemory(350 * 1_024 * 1_024);
  t.ok(maxDocumentBytes >= 3.9 * 1_024 * 1_024, `${maxDocumentBytes} bytes`);
});

t.test('the largest document can be sent over a link', async t => {
  for (const megabytes of [150, 178, 200, 350, 1_024]) {
    const plan = planMemory(megabytes * 1_024 * 1_024);
    t.ok(4 * plan.maxDocumentBytes <= plan.peerLinkBytes, `${megabytes} MB`);
  }
});
