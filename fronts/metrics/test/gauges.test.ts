import {createBoard} from '@gentianshunt/board';
import type {BoardView, Sections} from '@gentianshunt/board';
import {createLease, createManualClock, readInstant} from '@gentianshunt/clock';
import {formatObjectKey, RELEASE_ID} from '@gentianshunt/configuration';
import type {ConfigurationTable} from '@gentianshunt/configuration';
import {
  createControlSections,
  DEFAULT_LOG_BOUNDS,
} from '@gentianshunt/controlModel';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {ControlSections} from '@gentianshunt/controlModel';
import type {EntrySections} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {Member} from '@gentianshunt/messages';
import {Registry} from 'prom-client';
import t from 'tap';

import {
  addConfigurationGauges,
  addControlGauges,
  addHeartbeatCounters,
} from '../src/index.js';
import type {ScrapedMember} from '../src/index.js';

const FOLDER_BYTES = 4_321;

/** Creates a view of a new board in which some sections have other values. */
function createView<S extends Sections>(
  sections: S,
  values: Partial<BoardView<S>>,
): BoardView<S> {
  const {view} = createBoard({sections});
  const properties = Object.getOwnPropertyDescriptors(values);
  return Object.create(view, properties) as BoardView<S>;
}

function createMember(
  values: Partial<BoardView<ControlSections>> = {},
): ScrapedMember {
  const node = toIdentifier<never>('control-0');
  const sections = createControlSections({
    node,
    bootstrapMembers: [node],
    admission: {kind: 'listed'},
    storage: toIdentifier('folder'),
    seed: 1,
    releaseApplyMs: 2_000,
    logBounds: DEFAULT_LOG_BOUNDS,
  });
  const logUsage = {
    entries: 7,
    bytes: 600,
    sinceSnapshotBytes: 500,
    recordedBytes: 0,
  };
  return {
    view: createView(sections, {logUsage, ...values}),
    measureFolder: async () => FOLDER_BYTES,
  };
}

function createEntryView(
  values: Partial<BoardView<EntrySections>>,
): BoardView<EntrySections> {
  const address = {host: '127.0.0.1', port: 1};
  const sections = createEntrySections({
    address: {
      node: toIdentifier('entry-0'),
      region: toIdentifier('local'),
      domain: toIdentifier('a'),
      peer: address,
      http: address,
    },
    incarnation: toIdentifier('i1'),
    controlNodes: [],
  });
  return createView(sections, values);
}

function createConfiguration(version: number): ConfigurationTable {
  return new Map([
    [
      formatObjectKey('release', RELEASE_ID),
      {
        kind: 'release',
        id: RELEASE_ID,
        revision: 1,
        version,
        callerLimits: null,
      },
    ],
  ]);
}

/** Reads the value of a metric; `undefined` if it has none. */
async function readValue(
  registry: Registry,
  name: string,
): Promise<number | undefined> {
  const metric = await registry.getSingleMetric(name)?.get();
  return metric?.values[0]?.value;
}

t.test('the log and the folder of a member are measured', async t => {
  const registry = new Registry();
  const member = createMember();
  addControlGauges(registry, () => member);
  const expected = {
    log_entries: 7,
    log_bytes: 600,
    log_since_snapshot_bytes: 500,
    folder_bytes: FOLDER_BYTES,
    release: -1,
  };
  for (const [name, value] of Object.entries(expected)) {
    const metric = `gentianshunt_control_${name}`;
    t.equal(await readValue(registry, metric), value, name);
  }
});

t.test('a group with fewer copies than voters shows it', async t => {
  const registry = new Registry();
  const members = ['voter', 'voter', 'voter', 'learner'].map(
    (role, index): Member => ({
      node: toIdentifier(`control-${index}`),
      storage: toIdentifier(`folder-${index}`),
      role: role as Member['role'],
    }),
  );
  const loggedAt = 0;
  const member = createMember({
    memberships: [{index: 1, members}],
    role: {kind: 'leader', since: 0},
    leaderConfirmation: {kind: 'confirmed', loggedAt},
    copyWatch: {
      kind: 'leading',
      members: [],
      lacking: new Map(),
      copies: 2,
      missingSince: 0,
      loggedAt,
    },
    memberChanges: {index: 9, count: 8, recent: [], loggedAt},
  });
  addControlGauges(registry, () => member);
  const expected = {
    voters: 3,
    learners: 1,
    copies: 2,
    leader_confirmed: 1,
    joiners_waiting: 0,
    member_changes_total: 8,
  };
  for (const [name, value] of Object.entries(expected)) {
    const metric = `gentianshunt_control_${name}`;
    t.equal(await readValue(registry, metric), value, name);
  }
});

t.test('only the leader shows copies', async t => {
  const registry = new Registry();
  const member = createMember();
  addControlGauges(registry, () => member);
  const metric = 'gentianshunt_control_copies';
  t.equal(await readValue(registry, metric), undefined);
});

t.test('a VM without a member has no values of one', async t => {
  const registry = new Registry();
  let member: ScrapedMember | undefined = createMember();
  addControlGauges(registry, () => member);
  t.equal(await readValue(registry, 'gentianshunt_control_log_entries'), 7);
  member = undefined;
  const metric = 'gentianshunt_control_log_entries';
  t.equal(await readValue(registry, metric), undefined);
});

t.test('an entry shows what it obeys and until when', async t => {
  const registry = new Registry();
  const clock = createManualClock();
  const {control} = createEntryView({});
  const lease = createLease(readInstant(clock), 3_000);
  const view = createEntryView({
    configuration: createConfiguration(42),
    control: {...control, version: 9, lease},
  });
  addConfigurationGauges(registry, {view, clock});
  clock.advance(500);
  t.equal(await readValue(registry, 'gentianshunt_release'), 42);
  t.equal(await readValue(registry, 'gentianshunt_configuration_version'), 9);
  const remaining = 'gentianshunt_lease_remaining_seconds';
  t.equal(await readValue(registry, remaining), 2.5);
  t.equal(await readValue(registry, 'gentianshunt_unacknowledged_changes'), 0);
});

t.test('an entry shows what came back for its heartbeats', async t => {
  const registry = new Registry();
  const byAnswer = {none: 3, renewed: 2, unused: 1, notLeader: 0};
  const heartbeatTotals = {byAnswer, late: 4, counted: []};
  addHeartbeatCounters(registry, {view: createEntryView({heartbeatTotals})});
  const metric = registry.getSingleMetric('gentianshunt_heartbeats_total');
  // A scrape does not add to the one before.
  await metric?.get();
  t.match((await metric?.get())?.values, [
    {labels: {answer: 'none'}, value: 3},
    {labels: {answer: 'renewed'}, value: 2},
    {labels: {answer: 'unused'}, value: 1},
    {labels: {answer: 'notLeader'}, value: 0},
  ]);
  const late = 'gentianshunt_late_heartbeat_answers_total';
  t.equal(await readValue(registry, late), 4);
});

t.test('an entry without a configuration shows no release', async t => {
  const registry = new Registry();
  const view = createEntryView({});
  addConfigurationGauges(registry, {view, clock: createManualClock()});
  t.equal(await readValue(registry, 'gentianshunt_release'), -1);
});
