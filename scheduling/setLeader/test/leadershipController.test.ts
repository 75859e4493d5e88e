import {createControlLoop, defineController} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {
  EntryEffect,
  EntryObservation,
  EntrySections,
  LeaderSilencePolicy,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createLeadershipController,
  REPORT_COLLECTION_MS,
  SLOT_LIFETIME_MS,
} from '../src/index.js';

const SELF = 'n1';
const SET = toIdentifier<EndpointSetId>('drafts');
const LEARNT_AT_MS = 5_000;

/** Writes a set leadership to the configuration on every housekeeping timer. */
function createConfigurationWriter(node: string) {
  return defineController<
    EntrySections,
    EntryObservation,
    EntryEffect,
    never,
    'configuration'
  >({
    name: 'source',
    reads: [],
    writes: ['configuration'],
    observes: ['timerDue'],
    run: () => [
      {
        kind: 'put',
        section: 'configuration',
        key: toIdentifier('setLeadership/drafts'),
        value: {
          kind: 'setLeadership',
          id: SET,
          revision: 1,
          node: toIdentifier(node),
          epoch: 7,
        },
      },
    ],
  });
}

/**
 * Returns from when an entry may grant slots after it learnt which entry leads
 * the set; `undefined` if it may not.
 */
function readGrantsFrom(
  leader: string,
  leaderSilence?: LeaderSilencePolicy,
): number | undefined {
  const clock = createManualClock();
  const address = {host: '127.0.0.1', port: 1};
  const loop = createControlLoop<EntrySections, EntryObservation, EntryEffect>({
    sections: createEntrySections({
      address: {
        node: toIdentifier(SELF),
        domain: toIdentifier('a'),
        region: toIdentifier('local'),
        peer: address,
        http: address,
      },
      incarnation: toIdentifier('i1'),
      controlNodes: [],
      ...(leaderSilence === undefined ? {} : {leaderSilence}),
    }),
    controllers: [
      createConfigurationWriter(leader),
      createLeadershipController(),
    ],
    clock,
    perform: () => undefined,
  });
  loop.post({kind: 'started'});
  clock.advance(LEARNT_AT_MS);
  loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
  return loop.view.leaderships.get(SET)?.grantsFrom;
}

const cases: readonly {
  readonly name: string;
  readonly leader: string;
  readonly silence?: LeaderSilencePolicy;
  readonly grantsFrom: number | undefined;
}[] = [
  {
    name: 'by default after the slots of an earlier leader expired',
    leader: SELF,
    grantsFrom: LEARNT_AT_MS + SLOT_LIFETIME_MS,
  },
  {
    name: 'after they expired where entries wait for a leader',
    leader: SELF,
    silence: {kind: 'wait'},
    grantsFrom: LEARNT_AT_MS + SLOT_LIFETIME_MS,
  },
  {
    name: 'after demand reports arrived where endpoints queue the excess',
    leader: SELF,
    silence: {kind: 'useFallbackCapacity'},
    grantsFrom: LEARNT_AT_MS + REPORT_COLLECTION_MS,
  },
  {
    name: 'never where another entry leads',
    leader: 'n2',
    silence: {kind: 'useFallbackCapacity'},
    grantsFrom: undefined,
  },
];

for (const {name, leader, silence, grantsFrom} of cases) {
  t.test(`a new leader grants slots: ${name}`, async t => {
    t.equal(readGrantsFrom(leader, silence), grantsFrom);
  });
}
