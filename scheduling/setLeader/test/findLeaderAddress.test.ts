import {createLease, ENDED_LEASE} from '@gentianshunt/clock';
import type {Lease} from '@gentianshunt/clock';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointSetId, NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {findLeaderAddress, isLeadershipLapsed} from '../src/index.js';
import type {LeaderQuery} from '../src/index.js';

const SET = toIdentifier<EndpointSetId>('drafts');
const LEADER = toIdentifier<NodeId>('n1');
const OTHER = toIdentifier<NodeId>('n2');
const NOW = {monotonic: 1_000, wall: new Date(1_000)};
const HELD = createLease(NOW, 3_000);

function createQuery(lease: Lease): LeaderQuery {
  const address = {host: '127.0.0.1', port: 1};
  return {
    set: SET,
    lease,
    configuration: new Map([
      [
        'setLeadership/drafts',
        {kind: 'setLeadership', id: SET, revision: 1, node: LEADER, epoch: 7},
      ],
    ]) as never,
    directory: {
      version: {term: 1, number: 1, digest: 1},
      entries: [
        {
          draining: false,
          address: {
            node: LEADER,
            region: toIdentifier('local'),
            domain: toIdentifier('a'),
            peer: address,
            http: address,
          },
        },
      ],
    },
  };
}

t.test('an entry with a lease knows the leader of a set', async t => {
  const query = createQuery(HELD);
  t.equal(findLeaderAddress(query, NOW)?.node, LEADER);
  t.equal(isLeadershipLapsed(query, LEADER, NOW), false);
});

t.test('an entry without a lease does not', async t => {
  t.equal(findLeaderAddress(createQuery(ENDED_LEASE), NOW), undefined);
});

t.test('only the leader of a set can lose its leadership', async t => {
  const query = createQuery(ENDED_LEASE);
  t.equal(isLeadershipLapsed(query, LEADER, NOW), true);
  t.equal(isLeadershipLapsed(query, OTHER, NOW), false);
});
