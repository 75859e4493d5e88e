import t from 'tap';

import {createControlLoop, defineController} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import type {EndpointOrder} from '@gentianshunt/configuration';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {
  EntryObservation,
  EntryOrder,
  EntrySections,
  OrderRun,
} from '@gentianshunt/entryModel';
import {ORDER_FLIGHT_MS} from '@gentianshunt/orders';
import type {OrderState} from '@gentianshunt/orders';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

import {createEndpointOrderController, LEADER_LEASE_MS} from '../src/index.js';

const SELF = 'n1';
const EPOCH = 7;
const LEASE_END_MS = 60_000;
const ISSUED: OrderState = {
  kind: 'issued',
  fencing: 9,
  set: toIdentifier('a'),
  node: toIdentifier(SELF),
  epoch: EPOCH,
};

/** What the entry is given: an order, its endpoint and a lease. */
interface FixtureOptions {
  readonly state?: OrderState;
  readonly checksFencing?: boolean;
  readonly leaseUntil?: number;
}

function createOrder(state: OrderState): EndpointOrder {
  return {
    kind: 'endpointOrder',
    id: toIdentifier('e1'),
    revision: 3,
    directive: {kind: 'changeRole', role: 'prefill'},
    state,
  };
}

/** A controller that puts the given state on the board at the start. */
function createSource(options: FixtureOptions) {
  const order = createOrder(options.state ?? ISSUED);
  return defineController<
    EntrySections,
    EntryObservation,
    EntryOrder,
    never,
    'control' | 'configuration' | 'leaderships' | 'endpoints'
  >({
    name: 'source',
    reads: [],
    writes: ['control', 'configuration', 'leaderships', 'endpoints'],
    observes: ['started'],
    run: () => [
      {
        kind: 'set',
        section: 'control',
        value: {
          ...createSections().control.initial,
          leader: toIdentifier<NodeId>('c0'),
          leaseUntil: options.leaseUntil ?? LEASE_END_MS,
        },
      },
      {
        kind: 'put',
        section: 'configuration',
        key: toIdentifier('endpointOrder/e1'),
        value: order,
      },
      {
        kind: 'put',
        section: 'leaderships',
        key: toIdentifier('a'),
        value: {set: toIdentifier('a'), epoch: EPOCH, grantsFrom: 0},
      },
      {
        kind: 'put',
        section: 'endpoints',
        key: {set: toIdentifier('a'), endpoint: toIdentifier('e1')},
        value: {
          seenAt: 0,
          replaced: [],
          state: 'active',
          announcement: {
            endpoint: toIdentifier('e1'),
            incarnation: toIdentifier('i1'),
            set: toIdentifier('a'),
            domain: toIdentifier('d'),
            url: 'http://127.0.0.1:9',
            concurrency: 1,
            checksFencing: options.checksFencing ?? true,
            load: null,
            leaving: false,
          },
        },
      },
    ],
  });
}

function createSections() {
  return createEntrySections({
    address: {
      node: toIdentifier<NodeId>(SELF),
      region: toIdentifier('local'),
      domain: toIdentifier('d'),
      peer: {host: '127.0.0.1', port: 1},
      http: {host: '127.0.0.1', port: 2},
    },
    incarnation: toIdentifier('i1'),
    controls: [toIdentifier('c0')],
  });
}

function createFixture(options: FixtureOptions = {}) {
  const clock = createManualClock();
  const orders: EntryOrder[] = [];
  const loop = createControlLoop<EntrySections, EntryObservation, EntryOrder>({
    sections: createSections(),
    controllers: [createSource(options), createEndpointOrderController()],
    clock,
    perform: order => orders.push(order),
  });
  loop.post({kind: 'started'});
  return {
    loop,
    /** Moves the clock and returns what the entry then orders. */
    tick: (ms: number): readonly EntryOrder[] => {
      clock.advance(ms);
      loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
      return orders.splice(0);
    },
    end: (run: OrderRun): readonly EntryOrder[] => {
      loop.post({kind: 'endpointOrderEnded', run, result: {kind: 'done'}});
      return orders.splice(0);
    },
    advance: (ms: number) => clock.advance(ms),
  };
}

function readRun(orders: readonly EntryOrder[]): OrderRun | undefined {
  const found = orders.find(order => order.kind === 'sendEndpointOrder');
  return found?.kind === 'sendEndpointOrder' ? found.run : undefined;
}

t.test('an order that is not issued to this epoch is offered', async t => {
  const cases: readonly OrderState[] = [
    {kind: 'queued'},
    {...ISSUED, epoch: EPOCH - 1},
  ];
  for (const state of cases) {
    const fixture = createFixture({state});
    const [order] = fixture.tick(1);
    t.match(order, {
      kind: 'sendControl',
      message: {kind: 'orderOffer', endpoint: 'e1', revision: 3, epoch: EPOCH},
    });
  }
});

t.test('an order is sent once, within the lease', async t => {
  const fixture = createFixture();
  const run = readRun(fixture.tick(1));
  t.match(run, {fencing: 9, sendBefore: LEASE_END_MS});
  t.equal(readRun(fixture.tick(1)), undefined);
  const [report] = fixture.end(run!);
  t.match(report, {message: {kind: 'orderReport', fencing: 9}});
});

t.test('an endpoint that ignores the number is protected by time', async t => {
  const waitMs = LEADER_LEASE_MS + ORDER_FLIGHT_MS;
  const cases = [
    {checksFencing: true, afterMs: 0, isSent: true},
    {checksFencing: false, afterMs: waitMs - 1, isSent: false},
    {checksFencing: false, afterMs: waitMs, isSent: true},
  ];
  for (const {checksFencing, afterMs, isSent} of cases) {
    const fixture = createFixture({checksFencing});
    const run = readRun(fixture.tick(afterMs));
    t.equal(run !== undefined, isSent, `${checksFencing} ${afterMs}`);
  }
});

t.test('without a lease nothing is sent and nothing believed', async t => {
  const late = createFixture({leaseUntil: 10});
  t.strictSame(late.tick(10), [], 'the lease ended before the step');
  const frozen = createFixture({leaseUntil: 10});
  const run = readRun(frozen.tick(9));
  t.ok(run);
  frozen.advance(5_000);
  t.strictSame(frozen.end(run!), [], 'the lease ended during the step');
  t.match(frozen.loop.view.orderRuns.get(run!.endpoint), {
    kind: 'ended',
    result: {kind: 'unknown'},
  });
});
