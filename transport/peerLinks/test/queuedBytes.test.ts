import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import t from 'tap';

import {PROTOCOL_VERSION} from '../src/index.js';
import {openLinks, startStalledPeer, waitUntil} from './linkFixture.js';

const PEERS = 12;
const MEGABYTE = 1_024 * 1_024;
const MAX_QUEUED_BYTES = 8 * MEGABYTE;
const MESSAGE_BYTES = 4 * MEGABYTE;
/** More than a link may queue in any case. */
const FILLING_MESSAGES = 200;
const FILLING_BYTES = 64 * 1_024;

interface StalledPeer {
  readonly node: NodeId;
  send(body: unknown): void;
}

for (const protocol of [2, PROTOCOL_VERSION]) {
  t.test(
    `messages to many links do not exceed the bound of queued bytes: protocol ${protocol}`,
    async t => {
      const {links} = await openLinks('self', {
        maxQueuedBytes: MAX_QUEUED_BYTES,
      });
      const servers = await Promise.all(
        Array.from({length: PEERS}, (_, index) =>
          startStalledPeer({protocol, node: `peer-${index}`}),
        ),
      );
      const peers = servers.map(({address}, index): StalledPeer => {
        const node = toIdentifier<NodeId>(`peer-${index}`);
        return {node, send: body => links.send(node, address, body)};
      });
      peers.forEach(({send}) => send({kind: 'first'}));
      await waitUntil(() => links.readQueuedBytes().total === 0);
      await new Promise(resolve => setTimeout(resolve, 200));
      peers.forEach(({send}, index) =>
        send({kind: 'large', payload: Buffer.alloc(MESSAGE_BYTES, index)}),
      );
      const {total} = links.readQueuedBytes();
      t.ok(total > 0, 'messages are queued');
      t.ok(total <= MAX_QUEUED_BYTES, `${total} bytes`);
      servers.forEach(server => server.close());
      await links.close();
    },
  );
}

t.test('a short message is queued whatever large ones wait', async t => {
  const {links} = await openLinks('self', {maxQueuedBytes: MAX_QUEUED_BYTES});
  const [full, other] = await Promise.all(
    ['full', 'other'].map(node =>
      startStalledPeer({protocol: PROTOCOL_VERSION, node}),
    ),
  );
  const sendFull = (body: unknown): void =>
    links.send(toIdentifier('full'), full!.address, body);
  const sendOther = (body: unknown): void =>
    links.send(toIdentifier('other'), other!.address, body);
  sendFull({kind: 'first'});
  sendOther({kind: 'first'});
  await new Promise(resolve => setTimeout(resolve, 200));
  for (let index = 0; index < FILLING_MESSAGES; index += 1) {
    sendFull({kind: `${index}`, payload: Buffer.alloc(FILLING_BYTES, index)});
  }
  const {total} = links.readQueuedBytes();
  t.ok(total > MAX_QUEUED_BYTES / 2, 'the queues are full');
  sendFull({kind: 'heartbeat', payload: Buffer.alloc(1_024)});
  t.ok(links.readQueuedBytes().total > total, 'the heartbeat waits');
  full!.close();
  other!.close();
  await links.close();
});

t.test('a message above the bound is sent alone', async t => {
  const near = await openLinks('near', {maxQueuedBytes: MEGABYTE});
  const far = await openLinks('far');
  const send = (body: unknown): void =>
    near.links.send(far.node, far.links.address, body);
  send({kind: 'first'});
  await waitUntil(() => far.received.length === 1);
  send({kind: 'large', payload: Buffer.alloc(MESSAGE_BYTES, 1)});
  send({kind: 'other', payload: Buffer.alloc(MESSAGE_BYTES, 2)});
  send({kind: 'last'});
  await waitUntil(() => far.received.length === 3);
  const kinds = far.received.map(({body}) => (body as {kind: string}).kind);
  t.same(kinds, ['first', 'last', 'large']);
  await Promise.all([near.links.close(), far.links.close()]);
});
