import {createControlLoop, defineController} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {
  EntryObservation,
  EntryOrder,
  EntrySections,
  LeaderSilence,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointSetId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createLeadershipController,
  REPORTS_AWAITED_MS,
  SLOT_LIFETIME_MS,
} from '../src/index.js';

const SELF = 'n1';
const SET = toIdentifier<EndpointSetId>('drafts');
const LEARNT_AT_MS = 5_000;

/** A controller that learns of a leadership whenever upkeep is due. */
function createSource(node: string) {
  return defineController<
    EntrySections,
    EntryObservation,
    EntryOrder,
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

/** Reads from when an entry grants that learns who leads a set. */
function readGrantsFrom(
  leader: string,
  leaderSilence?: LeaderSilence,
): number | undefined {
  const clock = createManualClock();
  const address = {host: '127.0.0.1', port: 1};
  const loop = createControlLoop<EntrySections, EntryObservation, EntryOrder>({
    sections: createEntrySections({
      address: {
        node: toIdentifier(SELF),
        domain: toIdentifier('a'),
        region: toIdentifier('local'),
        peer: address,
        http: address,
      },
      incarnation: toIdentifier('i1'),
      controls: [],
      ...(leaderSilence === undefined ? {} : {leaderSilence}),
    }),
    controllers: [createSource(leader), createLeadershipController()],
    clock,
    perform: () => undefined,
  });
  loop.post({kind: 'started'});
  clock.advance(LEARNT_AT_MS);
  loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
  return loop.view.leaderships.get(SET)?.grantsFrom;
}

const rows: readonly {
  readonly name: string;
  readonly leader: string;
  readonly silence?: LeaderSilence;
  readonly grantsFrom: number | undefined;
}[] = [
  {
    name: 'slots of an earlier leader lapse first',
    leader: SELF,
    grantsFrom: LEARNT_AT_MS + SLOT_LIFETIME_MS,
  },
  {
    name: 'they lapse first where entries wait for a leader',
    leader: SELF,
    silence: {kind: 'wait'},
    grantsFrom: LEARNT_AT_MS + SLOT_LIFETIME_MS,
  },
  {
    name: 'reports are awaited where endpoints queue',
    leader: SELF,
    silence: {kind: 'takeShare'},
    grantsFrom: LEARNT_AT_MS + REPORTS_AWAITED_MS,
  },
  {
    name: 'another entry leads',
    leader: 'n2',
    silence: {kind: 'takeShare'},
    grantsFrom: undefined,
  },
];

for (const {name, leader, silence, grantsFrom} of rows) {
  t.test(`grants from when: ${name}`, async t => {
    t.equal(readGrantsFrom(leader, silence), grantsFrom);
  });
}
