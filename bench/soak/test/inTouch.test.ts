import t from 'tap';

import {isCoreStable, isInTouch} from '../src/index.js';
import type {LinkFaultKind, RecordedEvent} from '../src/index.js';
import {
  CALM,
  createHistory,
  createReplacement,
  createSignal,
  SPARE,
} from './historyFixture.js';

function createLinkFault(
  fault: LinkFaultKind,
  from: string,
  to: string,
): readonly RecordedEvent[] {
  return [
    {at: CALM, kind: 'linkFaulted', from, to, fault},
    {at: CALM + 1_000, kind: 'linkRestored', from, to, fault},
  ];
}

t.test('a VM is in touch a contact time after it was paused', async t => {
  const history = createHistory(
    createSignal(CALM, 'plain-1', 'SIGSTOP'),
    createSignal(CALM + 5_000, 'plain-1', 'SIGCONT'),
  );
  t.equal(isInTouch(history, 'plain-1', CALM - 1), true);
  t.equal(isInTouch(history, 'plain-1', CALM + 4_000), false);
  t.equal(isInTouch(history, 'plain-1', CALM + 8_000), false);
  t.equal(isInTouch(history, 'plain-1', CALM + 8_001), true);
  t.equal(isInTouch(history, 'plain-2', CALM + 1), true);
});

t.test('SIGHUP disturbs nothing', async t => {
  const history = createHistory(createSignal(CALM, 'plain-1', 'SIGHUP'));
  t.equal(isInTouch(history, 'plain-1', CALM + 1), true);
});

t.test('a process that ended by itself counts as running', async t => {
  const vm = 'plain-1';
  const history = createHistory(
    {at: CALM, kind: 'vmEnded', vm, pid: 1, result: 'code 2', isAsked: false},
    {at: CALM + 500, kind: 'vmStarted', vm, cause: 'ownEnd', pid: 2},
  );
  t.equal(isInTouch(history, vm, CALM + 600), true);
});

t.test('the kill of a predecessor does not disturb its successor', async t => {
  const vm = 'plain-1';
  const started = {kind: 'vmStarted', vm, cause: 'scheduled', pid: 9} as const;
  const history = createHistory(
    createSignal(CALM, vm, 'SIGTERM'),
    {at: CALM + 500, ...started},
    createSignal(CALM + 8_000, vm, 'SIGKILL'),
  );
  t.equal(isInTouch(history, vm, CALM + 3_500), false);
  t.equal(isInTouch(history, vm, CALM + 9_000), true);
});

t.test('an event on a VM of the core puts all VMs out of touch', async t => {
  const history = createHistory(createSignal(CALM, 'core-1', 'SIGKILL'), {
    at: CALM + 1_000,
    kind: 'vmStarted',
    vm: 'core-1',
    cause: 'scheduled',
    pid: 9,
  });
  t.equal(isCoreStable(history, CALM + 4_000), false);
  t.equal(isInTouch(history, 'plain-1', CALM + 4_000), false);
  t.equal(isCoreStable(history, CALM + 4_001), true);
});

t.test('the core is stable while one VM of it stays away', async t => {
  const history = createHistory(createSignal(CALM, 'core-1', 'SIGSTOP'));
  t.equal(isCoreStable(history, CALM + 3_001), true);
  t.equal(isInTouch(history, 'core-1', CALM + 3_001), false);
});

t.test('a VM that takes the place of another one counts instead', async t => {
  const joinedAt = CALM + 500;
  const history = createHistory(
    ...createReplacement(CALM, 'core-1', SPARE, 500),
    createSignal(CALM + 10_000, 'core-2', 'SIGSTOP'),
    createSignal(CALM + 20_000, SPARE, 'SIGSTOP'),
  );
  t.equal(isCoreStable(history, joinedAt + 3_000), false);
  t.equal(isCoreStable(history, joinedAt + 3_001), true);
  t.equal(isInTouch(history, SPARE, joinedAt + 3_001), true);
  t.equal(isCoreStable(history, CALM + 13_001), true, 'two of three run');
  t.equal(isCoreStable(history, CALM + 23_001), false, 'one of three runs');
});

t.test('the core is not stable while half of it is away', async t => {
  const history = createHistory(
    createSignal(CALM, 'core-1', 'SIGSTOP'),
    createSignal(CALM, 'core-2', 'SIGSTOP'),
  );
  t.equal(isCoreStable(history, CALM + 10_000), false);
});

t.test('faults of links end touch as far as the rules say', async t => {
  const cases: readonly {
    readonly fault: LinkFaultKind;
    readonly to: string;
    readonly isInTouch: boolean;
    readonly isCoreStable: boolean;
  }[] = [
    {fault: 'cut', to: 'plain-2', isInTouch: true, isCoreStable: true},
    {fault: 'cut', to: 'core-1', isInTouch: false, isCoreStable: true},
    {fault: 'silentOneWay', to: 'core-1', isInTouch: false, isCoreStable: true},
    {fault: 'delayed', to: 'plain-2', isInTouch: false, isCoreStable: true},
    {fault: 'late', to: 'plain-2', isInTouch: false, isCoreStable: true},
    {fault: 'narrow', to: 'plain-2', isInTouch: false, isCoreStable: true},
    {fault: 'reset', to: 'plain-2', isInTouch: false, isCoreStable: true},
    {fault: 'reset', to: 'core-1', isInTouch: false, isCoreStable: false},
    {fault: 'stale', to: 'plain-2', isInTouch: false, isCoreStable: false},
  ];
  for (const {fault, to, ...expected} of cases) {
    const history = createHistory(...createLinkFault(fault, 'plain-1', to));
    const at = CALM + 500;
    t.match(
      {
        isInTouch: isInTouch(history, 'plain-1', at),
        isCoreStable: isCoreStable(history, at),
      },
      expected,
      `${fault} to ${to}`,
    );
  }
});

t.test('overlapping faults of a link last until the last one ends', async t => {
  const link = {from: 'plain-1', to: 'core-1', fault: 'late'} as const;
  const history = createHistory(
    {at: CALM, kind: 'linkFaulted', ...link},
    {at: CALM + 1_000, kind: 'linkFaulted', ...link},
    {at: CALM + 2_000, kind: 'linkRestored', ...link},
    {at: CALM + 10_000, kind: 'linkRestored', ...link},
  );
  t.equal(isInTouch(history, 'plain-1', CALM + 13_000), false);
  t.equal(isInTouch(history, 'plain-1', CALM + 13_001), true);
});

t.test('stale connections disturb VMs once, not while they last', async t => {
  const history = createHistory({
    at: CALM,
    kind: 'linkFaulted',
    from: 'plain-1',
    to: 'plain-2',
    fault: 'stale',
  });
  t.equal(isInTouch(history, 'core-1', CALM + 3_000), false);
  t.equal(isInTouch(history, 'core-1', CALM + 3_001), true);
});
