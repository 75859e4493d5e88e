import {toIdentifier} from '@gentianshunt/identifiers';
import t from 'tap';

import {MAX_MESSAGE_BYTES} from '../src/index.js';
import type {PeerLinksOptions} from '../src/index.js';
import {
  openLinks,
  startCollectingPeer,
  startSlowRelay,
  waitUntil,
} from './linkFixture.js';
import type {Received, TestLinks, TestServer} from './linkFixture.js';

/** 10 Mbit/s. */
const SLOW_BYTES_PER_SECOND = 1_250_000;
const LARGE_BYTES = 2 * 1_024 * 1_024;
const ABOVE_FRAME_BYTES = 9 * 1_024 * 1_024;
/** After this long without a leader, members may grant a vote. */
const LEADER_SILENCE_MS = 800;

interface SlowLink {
  readonly near: TestLinks;
  readonly far: TestLinks;
  readonly relay: TestServer;
  send(body: unknown): void;
  close(): Promise<void>;
}

/** Connects two daemons by a link of 10 Mbit/s. */
async function openSlowLink(
  changes: Partial<PeerLinksOptions> = {},
): Promise<SlowLink> {
  const near = await openLinks('near', changes);
  const far = await openLinks('far', changes);
  const relay = await startSlowRelay(far.links.address, SLOW_BYTES_PER_SECOND);
  const send = (body: unknown): void =>
    near.links.send(far.node, relay.address, body);
  send({kind: 'first'});
  await waitUntil(() => far.received.length === 1);
  return {
    near,
    far,
    relay,
    send,
    close: async () => {
      relay.close();
      await Promise.all([near.links.close(), far.links.close()]);
    },
  };
}

function createLarge(kind: string, byte = 1, bytes = LARGE_BYTES) {
  return {kind, payload: Buffer.alloc(bytes, byte)};
}

function findReceived(
  {received}: TestLinks,
  kind: string,
): Received | undefined {
  return received.find(({body}) => (body as {kind: string}).kind === kind);
}

function listKinds({received}: TestLinks): readonly string[] {
  return received.map(({body}) => (body as {kind: string}).kind);
}

t.test(
  'a heartbeat does not wait behind a large message on a slow link',
  async t => {
    const {far, send, close} = await openSlowLink();
    send(createLarge('document'));
    const sentAt = performance.now();
    send({kind: 'heartbeat'});
    await waitUntil(() => findReceived(far, 'document') !== undefined);
    const {at} = findReceived(far, 'heartbeat')!;
    t.ok(at - sentAt < LEADER_SILENCE_MS, `${at - sentAt} ms`);
    t.same(findReceived(far, 'document')!.body, createLarge('document'));
    await close();
  },
);

t.test('a large message does not wait for one with another key', async t => {
  const {far, send, close} = await openSlowLink();
  send(createLarge('document'));
  send(createLarge('log', 2, LARGE_BYTES / 8));
  await waitUntil(() => findReceived(far, 'document') !== undefined);
  t.same(listKinds(far), ['first', 'log', 'document']);
  await close();
});

t.test('messages with the same key arrive in order', async t => {
  const {far, send, close} = await openSlowLink({readOrderingKey: () => 'log'});
  send({kind: 'short1'});
  send(createLarge('large2', 2, LARGE_BYTES / 8));
  send({kind: 'short3'});
  send(createLarge('large4', 4, LARGE_BYTES / 8));
  send({kind: 'short5'});
  await waitUntil(() => far.received.length === 6);
  const sent = ['first', 'short1', 'large2', 'short3', 'large4', 'short5'];
  t.same(listKinds(far), sent);
  await close();
});

t.test('messages sent before the connection arrive in order', async t => {
  const near = await openLinks('near', {readOrderingKey: () => 'log'});
  const far = await openLinks('far');
  near.links.send(far.node, far.links.address, createLarge('large1'));
  near.links.send(far.node, far.links.address, {kind: 'short2'});
  await waitUntil(() => far.received.length === 2);
  t.same(listKinds(far), ['large1', 'short2']);
  await Promise.all([near.links.close(), far.links.close()]);
});

t.test('a peer of the previous protocol gets whole messages', async t => {
  const near = await openLinks('near');
  const peer = await startCollectingPeer({protocol: 2, node: 'peer'});
  const send = (body: unknown): void =>
    near.links.send(toIdentifier('peer'), peer.address, body);
  const large = createLarge('document');
  send(large);
  send({kind: 'heartbeat'});
  await waitUntil(() => peer.frames.length >= 3);
  t.match(peer.frames[0], {kind: 'hello', protocol: 2, node: 'near'});
  t.same(peer.frames.slice(1), [
    {kind: 'message', body: large},
    {kind: 'message', body: {kind: 'heartbeat'}},
  ]);
  peer.close();
  await near.links.close();
});

t.test('a message above the largest size does not end the link', async t => {
  const near = await openLinks('near');
  const far = await openLinks('far');
  const send = (body: unknown): void =>
    near.links.send(far.node, far.links.address, body);
  send({kind: 'first'});
  send(createLarge('document', 1, MAX_MESSAGE_BYTES));
  send({kind: 'last'});
  await waitUntil(() => far.received.length === 2);
  t.same(listKinds(far), ['first', 'last']);
  t.match(near.errors, [{code: 'ERR_MESSAGE_TOO_LARGE'}]);
  await Promise.all([near.links.close(), far.links.close()]);
});

t.test('a message above the largest frame arrives in fragments', async t => {
  const near = await openLinks('near');
  const far = await openLinks('far');
  const large = createLarge('document', 1, ABOVE_FRAME_BYTES);
  near.links.send(far.node, far.links.address, large);
  await waitUntil(() => far.received.length + near.errors.length === 1);
  t.same(near.errors, []);
  t.ok(findReceived(far, 'document'));
  const {payload} = findReceived(far, 'document')!.body as typeof large;
  t.ok(large.payload.equals(payload));
  await Promise.all([near.links.close(), far.links.close()]);
});

t.test('a peer of the previous protocol gets no larger frame', async t => {
  const near = await openLinks('near');
  const peer = await startCollectingPeer({protocol: 2, node: 'peer'});
  const send = (body: unknown): void =>
    near.links.send(toIdentifier('peer'), peer.address, body);
  send({kind: 'first'});
  send(createLarge('document', 1, ABOVE_FRAME_BYTES));
  send({kind: 'last'});
  await waitUntil(() => peer.frames.length >= 3);
  t.same(peer.frames.slice(1), [
    {kind: 'message', body: {kind: 'first'}},
    {kind: 'message', body: {kind: 'last'}},
  ]);
  t.match(near.errors, [{code: 'ERR_MESSAGE_TOO_LARGE'}]);
  peer.close();
  await near.links.close();
});
