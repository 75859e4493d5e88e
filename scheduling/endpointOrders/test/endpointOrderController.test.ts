import t from 'tap';

import {createControlLoop, defineController} from '@gentianshunt/board';
import {createLease, createManualClock, readInstant} from '@gentianshunt/clock';
import type {EndpointOrder} from '@gentianshunt/configuration';
import {createEntrySections} from '@gentianshunt/entryModel';
import type {
  EntryEffect,
  EntryObservation,
  EntrySections,
  EntryWrite,
  OrderExecution,
} from '@gentianshunt/entryModel';
import {MAX_ORDER_DELIVERY_MS} from '@gentianshunt/orders';
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

/** State of the order, its endpoint and the entry's lease. */
interface FixtureOptions {
  readonly state?: OrderState;
  readonly checksFencing?: boolean;
  readonly leaseMs?: number;
  /** Whether the endpoint has gone. */
  readonly isGone?: boolean;
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

/** Creates the write that puts the order's endpoint on the board. */
function createEndpointWrite(options: FixtureOptions): EntryWrite<'endpoints'> {
  return {
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
  };
}

/** Creates a controller that puts the fixture on the board at the start. */
function createSource(options: FixtureOptions) {
  const order = createOrder(options.state ?? ISSUED);
  return defineController<
    EntrySections,
    EntryObservation,
    EntryEffect,
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
          lease: createLease(
            readInstant(createManualClock()),
            options.leaseMs ?? LEASE_END_MS,
          ),
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
      ...(options.isGone === true ? [] : [createEndpointWrite(options)]),
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
    controlNodes: [toIdentifier('c0')],
  });
}

function createFixture(options: FixtureOptions = {}) {
  const clock = createManualClock();
  const effects: EntryEffect[] = [];
  const loop = createControlLoop<EntrySections, EntryObservation, EntryEffect>({
    sections: createSections(),
    controllers: [createSource(options), createEndpointOrderController()],
    clock,
    perform: effect => effects.push(effect),
  });
  loop.post({kind: 'started'});
  return {
    loop,
    /** Advances the clock and returns the effects of the next turn. */
    tick: (ms: number): readonly EntryEffect[] => {
      clock.advance(ms);
      loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
      return effects.splice(0);
    },
    end: (execution: OrderExecution): readonly EntryEffect[] => {
      loop.post({
        kind: 'endpointOrderEnded',
        execution,
        result: {kind: 'done'},
      });
      return effects.splice(0);
    },
    advance: (ms: number) => clock.advance(ms),
  };
}

function findSentExecution(
  effects: readonly EntryEffect[],
): OrderExecution | undefined {
  const sent = effects.find(effect => effect.kind === 'sendEndpointOrder');
  return sent?.kind === 'sendEndpointOrder' ? sent.execution : undefined;
}

t.test('an order that is not issued to this epoch is offered', async t => {
  const cases: readonly OrderState[] = [
    {kind: 'queued'},
    {...ISSUED, epoch: EPOCH - 1},
  ];
  for (const state of cases) {
    const fixture = createFixture({state});
    const [effect] = fixture.tick(1);
    t.match(effect, {
      kind: 'sendControl',
      message: {kind: 'orderOffer', endpoint: 'e1', revision: 3, epoch: EPOCH},
    });
  }
});

t.test('an order is sent once, within the lease', async t => {
  const fixture = createFixture();
  const execution = findSentExecution(fixture.tick(1));
  t.match(execution, {fencing: 9, lease: {until: LEASE_END_MS}});
  t.equal(findSentExecution(fixture.tick(1)), undefined);
  const [report] = fixture.end(execution!);
  t.match(report, {message: {kind: 'orderReport', fencing: 9}});
});

t.test(
  'without fencing checks an order waits until older leases end',
  async t => {
    const waitMs = LEADER_LEASE_MS + MAX_ORDER_DELIVERY_MS;
    const cases = [
      {checksFencing: true, afterMs: 0, isSent: true},
      {checksFencing: false, afterMs: waitMs - 1, isSent: false},
      {checksFencing: false, afterMs: waitMs, isSent: true},
    ];
    for (const {checksFencing, afterMs, isSent} of cases) {
      const fixture = createFixture({checksFencing});
      const execution = findSentExecution(fixture.tick(afterMs));
      t.equal(execution !== undefined, isSent, `${checksFencing} ${afterMs}`);
    }
  },
);

t.test('without a lease no order is sent and no result reported', async t => {
  const expired = createFixture({leaseMs: 10});
  t.strictSame(expired.tick(10), [], 'the lease ended before sending');
  const paused = createFixture({leaseMs: 10});
  const execution = findSentExecution(paused.tick(9));
  t.ok(execution);
  paused.advance(5_000);
  t.strictSame(paused.end(execution!), [], 'the lease ended after sending');
  t.match(paused.loop.view.orderExecutions.get(execution!.endpoint), {
    kind: 'ended',
    result: {kind: 'unknown'},
  });
});

t.test(
  'an order of an earlier leader whose endpoint has gone ends',
  async t => {
    const waitMs = LEADER_LEASE_MS + MAX_ORDER_DELIVERY_MS;
    const cases = [
      {epoch: EPOCH, afterMs: 1, isReported: true},
      {epoch: EPOCH - 1, afterMs: waitMs - 1, isReported: false},
      {epoch: EPOCH - 1, afterMs: waitMs, isReported: true},
    ];
    for (const {epoch, afterMs, isReported} of cases) {
      const fixture = createFixture({state: {...ISSUED, epoch}, isGone: true});
      const [report] = fixture.tick(afterMs);
      t.equal(
        report !== undefined,
        isReported,
        `epoch ${epoch}, ${afterMs} ms`,
      );
      if (isReported) {
        t.match(report, {message: {kind: 'orderReport', fencing: 9}});
      }
    }
  },
);
