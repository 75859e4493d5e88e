import t from 'tap';

import {findObject} from '@gentianshunt/configuration';
import type {ObjectCommand} from '@gentianshunt/configuration';
import {MAX_ENTRY_LEASE_MS} from '@gentianshunt/entrySessions';
import type {OrderResult} from '@gentianshunt/orders';
import {toIdentifier} from '@gentianshunt/identifiers';

import {
  createCommand,
  createCommandRequest,
  createControlFixture,
  createHeartbeat,
  createSetCommand,
} from './fixture.js';
import type {ControlFixture} from './fixture.js';

const ONE_LOAD_MS = 10_000;

function createLoad(endpoint: string): ObjectCommand {
  return {
    kind: 'order',
    endpoint: toIdentifier(endpoint),
    directive: {kind: 'load', model: 'm', adapter: null, version: null},
    expectedRevision: null,
  };
}

/** A set that n1 leads, and an order to load a model for each endpoint. */
function createFixture(endpoints: readonly string[]): ControlFixture {
  const fixture = createControlFixture();
  const commands = [createSetCommand('a'), ...endpoints.map(createLoad)];
  fixture.receive('n1', createHeartbeat('n1'));
  fixture.receive('n1', createCommandRequest(createCommand(1, commands)));
  fixture.advance(1);
  return fixture;
}

function readState(fixture: ControlFixture, endpoint: string) {
  const {configuration} = fixture.node.view;
  return findObject(configuration, 'endpointOrder', endpoint)?.state;
}

function offer(fixture: ControlFixture, endpoint: string, from = 'n1'): void {
  const {configuration} = fixture.node.view;
  const leadership = findObject(configuration, 'setLeadership', 'a');
  fixture.receive(from, {
    kind: 'orderOffer',
    endpoint: toIdentifier(endpoint),
    revision: 1,
    set: toIdentifier('a'),
    epoch: leadership?.epoch ?? 0,
  });
}

function report(
  fixture: ControlFixture,
  endpoint: string,
  fencing: number,
  result: OrderResult = {kind: 'done'},
): void {
  fixture.receive('n1', {
    kind: 'orderReport',
    endpoint: toIdentifier(endpoint),
    fencing,
    result,
  });
}

function readFencing(fixture: ControlFixture, endpoint: string): number {
  const state = readState(fixture, endpoint);
  return state?.kind === 'issued' ? state.fencing : 0;
}

t.test('an order is issued to the leader of the set only', async t => {
  const fixture = createFixture(['e1']);
  offer(fixture, 'e1', 'n2');
  t.equal(readState(fixture, 'e1')?.kind, 'queued');
  offer(fixture, 'e1');
  t.match(readState(fixture, 'e1'), {kind: 'issued', node: 'n1'});
  const {size} = fixture.node.view.log;
  offer(fixture, 'e1');
  t.equal(fixture.node.view.log.size, size, 'not issued twice');
});

t.test('loads are issued at the rate of the weight store', async t => {
  const endpoints = ['e1', 'e2', 'e3'];
  const fixture = createFixture(endpoints);
  const readKinds = () =>
    endpoints.map(endpoint => readState(fixture, endpoint)?.kind);
  endpoints.forEach(endpoint => offer(fixture, endpoint));
  t.strictSame(readKinds(), ['issued', 'issued', 'queued']);
  fixture.clock.advance(ONE_LOAD_MS - 1);
  offer(fixture, 'e3');
  t.strictSame(readKinds(), ['issued', 'issued', 'queued']);
  fixture.clock.advance(1);
  offer(fixture, 'e3');
  t.strictSame(readKinds(), ['issued', 'issued', 'issued']);
});

t.test('a restart does not refill the token bucket', async t => {
  const before = createFixture(['e1', 'e2', 'e3']);
  ['e1', 'e2'].forEach(endpoint => offer(before, endpoint));
  const after = createControlFixture(before.readStored());
  t.ok(after.node.view.weightStore.tokens < 1);
});

t.test('only the latest fencing number ends an order', async t => {
  const fixture = createFixture(['e1']);
  offer(fixture, 'e1');
  const first = readFencing(fixture, 'e1');
  fixture.receive('n2', createHeartbeat('n2'));
  fixture.receive('n1', createHeartbeat('n1', {draining: true}));
  fixture.advance(1);
  offer(fixture, 'e1', 'n2');
  const second = readFencing(fixture, 'e1');
  t.ok(second > first, 'the next leader gets a higher fencing number');
  report(fixture, 'e1', first);
  t.equal(readState(fixture, 'e1')?.kind, 'issued');
  report(fixture, 'e1', second);
  t.match(readState(fixture, 'e1'), {kind: 'ended', result: {kind: 'done'}});
});

t.test('an order that is being executed is not replaced', async t => {
  const cases = [
    {name: 'queued', steps: 0, kind: 'accepted'},
    {name: 'issued', steps: 1, kind: 'refused'},
    {name: 'ended', steps: 2, kind: 'accepted'},
  ];
  for (const {name, steps, kind} of cases) {
    const fixture = createFixture(['e1']);
    if (steps > 0) {
      offer(fixture, 'e1');
    }
    if (steps > 1) {
      report(fixture, 'e1', readFencing(fixture, 'e1'));
    }
    const [reply] = fixture.ask(
      'n1',
      createCommandRequest(createCommand(2, [createLoad('e1')])),
    );
    t.match(reply, {answer: {kind: 'applied', result: {kind}}}, name);
  }
});

t.test('an order is issued again after its set leader failed', async t => {
  const fixture = createFixture(['e1']);
  offer(fixture, 'e1');
  fixture.advance(MAX_ENTRY_LEASE_MS);
  fixture.receive('n2', createHeartbeat('n2'));
  fixture.advance(1);
  fixture.advance(1);
  offer(fixture, 'e1', 'n2');
  t.match(readState(fixture, 'e1'), {kind: 'issued', node: 'n2'});
});
