import t from 'tap';

import {
  MAX_ENTRY_LEASE_MS,
  MIN_ENTRY_LEASE_MS,
} from '@gentianshunt/entrySessions';
import type {ControlToEntry, EntryToControl} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';

import {
  createControlFixture,
  createHeartbeat,
  createTierCommand,
  ENTRY_LEASE_MS,
  RELEASE_APPLY_MS,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

const MAX_WAIT_MS = ENTRY_LEASE_MS - RELEASE_APPLY_MS;
const MAX_RECOVERY_WAIT_MS = MAX_ENTRY_LEASE_MS - RELEASE_APPLY_MS;

/** Creates a request to replace the configuration by one with one tier. */
function createReplacementRequest(
  release: number,
  correlation = `put-${release}`,
): EntryToControl {
  const command = createTierCommand('gold', release);
  return {
    kind: 'replacementRequest',
    correlation: toIdentifier(correlation),
    replacement: {
      version: release,
      objects: command.kind === 'put' ? [command.object] : [],
      source: new Uint8Array([release]),
    },
  };
}

/** Two entries with a session, after the leader's lease recovery period. */
function createLedFixture(releaseApplyMs?: number): ControlFixture {
  const fixture = createControlFixture(undefined, {releaseApplyMs});
  fixture.advance(MAX_ENTRY_LEASE_MS);
  for (const node of ['entry-0', 'entry-1']) {
    fixture.receive(node, createHeartbeat(node));
  }
  fixture.takeSent();
  return fixture;
}

function confirm(fixture: ControlFixture, node: string): void {
  fixture.receive(node, {
    kind: 'versionConfirmed',
    version: fixture.node.view.applied.version,
    directoryVersion: {term: 1, number: 1, digest: 0},
  });
}

/** Returns the replies sent since the last call. */
function takeReplies(fixture: ControlFixture): readonly ControlToEntry[] {
  return fixture
    .takeSent()
    .map(({message}) => message)
    .filter(({kind}) => kind === 'replacementReply');
}

function countProposedReleases(fixture: ControlFixture): number {
  return fixture
    .readStored()
    .entries.filter(({payload}) => payload.kind === 'replaceConfiguration')
    .length;
}

t.test('a release is acknowledged once all entries confirmed it', async t => {
  const fixture = createLedFixture();
  fixture.receive('entry-0', createReplacementRequest(7));
  confirm(fixture, 'entry-0');
  t.same(takeReplies(fixture), [], 'one entry may use the former release');
  confirm(fixture, 'entry-1');
  t.match(takeReplies(fixture), [{correlation: 'put-7', version: 7}]);
});

t.test(
  'a release is not acknowledged while an entry that has not confirmed it may use an older one beyond the bound',
  async t => {
    const fixture = createLedFixture();
    fixture.receive('entry-0', createReplacementRequest(7));
    confirm(fixture, 'entry-0');
    fixture.advance(MAX_WAIT_MS - 1);
    t.same(takeReplies(fixture), []);
    fixture.advance(1);
    t.match(takeReplies(fixture), [{correlation: 'put-7', version: 7}]);
  },
);

t.test('a resent release waits like the first request', async t => {
  const fixture = createLedFixture();
  fixture.receive('entry-0', createReplacementRequest(7));
  fixture.receive('entry-0', createReplacementRequest(8));
  fixture.advance(MAX_WAIT_MS - 1);
  for (const release of [7, 8]) {
    const request = createReplacementRequest(release, `again-${release}`);
    fixture.receive('entry-1', request);
  }
  t.same(takeReplies(fixture), []);
  t.equal(countProposedReleases(fixture), 2, 'a stored one is not proposed');
  fixture.advance(1);
  t.equal(takeReplies(fixture).length, 4);
});

t.test('later releases do not delay the acknowledgement', async t => {
  const fixture = createLedFixture();
  const intervalMs = MAX_WAIT_MS / 4;
  for (const release of [1, 2, 3, 4]) {
    fixture.receive('entry-0', createReplacementRequest(release));
    fixture.advance(intervalMs);
    // Its reply, which includes the release, may be lost.
    fixture.receive('entry-1', createHeartbeat('entry-1'));
  }
  t.match(takeReplies(fixture), [{correlation: 'put-1'}]);
  fixture.advance(intervalMs);
  t.match(takeReplies(fixture), [{correlation: 'put-2'}]);
});

t.test('an entry that was silent before delays nothing', async t => {
  const fixture = createLedFixture();
  fixture.advance(MAX_WAIT_MS - 1);
  fixture.receive('entry-0', createHeartbeat('entry-0'));
  fixture.receive('entry-0', createReplacementRequest(7));
  confirm(fixture, 'entry-0');
  t.same(takeReplies(fixture), [], 'its lease ends just beyond the bound');
  fixture.advance(1);
  t.match(takeReplies(fixture), [{correlation: 'put-7', version: 7}]);
});

t.test(
  'a new leader does not acknowledge a release before the leases of its predecessor are within the bound',
  async t => {
    const before = createLedFixture();
    before.receive('entry-0', createReplacementRequest(7));
    const after = createControlFixture(before.readStored());
    after.receive('entry-0', createHeartbeat('entry-0'));
    confirm(after, 'entry-0');
    after.receive('entry-0', createReplacementRequest(7));
    after.advance(MAX_RECOVERY_WAIT_MS - 1);
    t.same(takeReplies(after), []);
    after.advance(1);
    t.match(takeReplies(after), [{correlation: 'put-7', version: 7}]);
  },
);

t.test('leases are derived from the bound of the settings', async t => {
  const cases = [
    {releaseApplyMs: 0, leaseMs: MIN_ENTRY_LEASE_MS},
    {releaseApplyMs: 2_000, leaseMs: 2_500},
    {releaseApplyMs: 2_200, leaseMs: 2_700},
    {releaseApplyMs: 2_500, leaseMs: MAX_ENTRY_LEASE_MS},
    {releaseApplyMs: 60_000, leaseMs: MAX_ENTRY_LEASE_MS},
  ];
  for (const {releaseApplyMs, leaseMs} of cases) {
    const fixture = createLedFixture(releaseApplyMs);
    const [update] = fixture.ask('entry-0', createHeartbeat('entry-0'));
    t.match(update, {leaseMs}, `${releaseApplyMs} ms`);
    fixture.receive('entry-0', createReplacementRequest(7));
    const waitMs = Math.max(0, leaseMs - releaseApplyMs);
    if (waitMs > 0) {
      fixture.advance(waitMs - 1);
      t.same(takeReplies(fixture), [], `${releaseApplyMs} ms: too early`);
      fixture.advance(1);
    }
    t.equal(takeReplies(fixture).length, 1, `${releaseApplyMs} ms`);
  }
});
