import {createControlLoop, defineController} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {
  EndpointAnnouncement,
  EntryEffect,
  EntryObservation,
  EntrySections,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {
  createEndpointRegistry,
  createLeadershipController,
  ENDPOINT_LEASE_MS,
  REANNOUNCE_MS,
} from '../src/index.js';

const SELF = 'n1';
const OTHER = 'n2';
const SET = toIdentifier<EndpointSetId>('drafts');
const TICK_MS = 250;

/** An entry; the test sets which entry leads the endpoint set. */
interface RegistryFixture {
  readonly states: readonly string[];
  /** Messages sent so far, by kind and node. */
  readonly sent: readonly string[];
  announce(leaving?: boolean): void;
  leave(): void;
  learnLeader(node: string): void;
  advance(durationMs: number): void;
}

function createAddress(node: string) {
  const address = {host: '127.0.0.1', port: 1};
  return {
    node: toIdentifier<NodeId>(node),
    domain: toIdentifier<never>('a'),
    region: toIdentifier<never>('local'),
    peer: address,
    http: address,
  };
}

function createAnnouncement(leaving: boolean): EndpointAnnouncement {
  return {
    endpoint: toIdentifier('e1'),
    incarnation: toIdentifier('p1'),
    set: SET,
    domain: toIdentifier('a'),
    url: 'http://127.0.0.1:2',
    concurrency: 4,
    checksFencing: false,
    load: null,
    leaving,
  };
}

function createFixture(): RegistryFixture {
  const clock = createManualClock();
  const sent: string[] = [];
  let leader: string | undefined;
  let epoch = 1;
  const source = defineController<
    EntrySections,
    EntryObservation,
    EntryEffect,
    'control',
    'control' | 'configuration'
  >({
    name: 'source',
    reads: ['control'],
    writes: ['control', 'configuration'],
    observes: ['started', 'controlNodesLearned'],
    run: ({board}) => [
      {
        kind: 'set',
        section: 'control',
        value: {
          ...board.control,
          directory: {
            version: {term: 1, number: 1, digest: 1},
            entries: [SELF, OTHER].map(node => ({
              address: createAddress(node),
              draining: false,
            })),
          },
        },
      },
      ...(leader === undefined
        ? []
        : [
            {
              kind: 'put',
              section: 'configuration',
              key: toIdentifier<never>('setLeadership/drafts'),
              value: {
                kind: 'setLeadership',
                id: SET,
                revision: 1,
                node: toIdentifier<NodeId>(leader),
                epoch,
              },
            } as const,
          ]),
    ],
  });
  const loop = createControlLoop<EntrySections, EntryObservation, EntryEffect>({
    sections: createEntrySections({
      address: createAddress(SELF),
      incarnation: toIdentifier('i1'),
      controlNodes: [],
    }),
    controllers: [
      source,
      createLeadershipController(),
      createEndpointRegistry(),
    ],
    clock,
    perform: effect => {
      if (effect.kind === 'sendEntry') {
        sent.push(`${effect.message.kind} ${effect.to}`);
      }
    },
  });
  loop.post({kind: 'started'});
  return {
    get states() {
      return Array.from(
        loop.view.endpoints.iterateFrom(),
        ({value}) => value.state,
      );
    },
    sent,
    announce: (leaving = false) =>
      loop.post({
        kind: 'endpointContact',
        announcement: createAnnouncement(leaving),
      }),
    leave: () =>
      loop.post({kind: 'endpointLeft', endpoint: toIdentifier('e1')}),
    learnLeader: node => {
      leader = node;
      epoch += 1;
      loop.post({kind: 'controlNodesLearned', nodes: []});
    },
    advance: durationMs => {
      for (let elapsed = 0; elapsed < durationMs; elapsed += TICK_MS) {
        clock.advance(TICK_MS);
        loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
      }
    },
  };
}

t.test('an announcement for a leaderless set is not lost', async t => {
  const fixture = createFixture();
  fixture.announce();
  fixture.learnLeader(SELF);
  fixture.advance(TICK_MS);
  t.same(fixture.states, ['active']);
});

t.test('announcements are resent to a new leader more than once', async t => {
  const fixture = createFixture();
  fixture.announce();
  fixture.learnLeader(OTHER);
  fixture.advance(2 * REANNOUNCE_MS);
  t.same(fixture.sent, [
    `endpointAnnounced ${OTHER}`,
    `endpointAnnounced ${OTHER}`,
  ]);
});

t.test('expired announcements are not passed to a new leader', async t => {
  const fixture = createFixture();
  fixture.announce();
  fixture.advance(ENDPOINT_LEASE_MS + TICK_MS);
  fixture.learnLeader(SELF);
  fixture.advance(TICK_MS);
  t.same(fixture.states, []);
});

t.test('a new leader does not register an endpoint that left', async t => {
  const fixture = createFixture();
  fixture.announce();
  fixture.leave();
  fixture.announce();
  fixture.learnLeader(SELF);
  fixture.advance(REANNOUNCE_MS);
  t.same(fixture.states, []);
});

t.test('a leave is resent to a new leader', async t => {
  const fixture = createFixture();
  fixture.leave();
  fixture.learnLeader(OTHER);
  fixture.advance(TICK_MS);
  t.same(fixture.sent, [`endpointLeft ${OTHER}`]);
});
