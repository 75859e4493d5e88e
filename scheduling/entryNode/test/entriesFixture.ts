import {createManualClock} from '@gentianshunt/clock';
import type {Milliseconds} from '@gentianshunt/clock';
import type {
  ConfigurationObject,
  TokenAllotment,
} from '@gentianshunt/configuration';
import type {
  AllotmentTolerance,
  EntryMessage,
  EntryOrder,
  EntryTimer,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId, TierId} from '@gentianshunt/identifiers';

import {createEntryNode} from '../src/index.js';
import type {EntryNode} from '../src/index.js';
import {createFacts} from './entryFixture.js';

const STEP_MS = 5;
const HEARTBEAT_MS = 500;
const LEASE_MS = 3_000;
const CONTROL = 'control-0';
const SET = 'drafts';
const TIERS = ['gold', 'silver', 'bronze'];

/** What several entries share. */
export interface EntriesOptions {
  readonly count: number;
  readonly tokens: TokenAllotment | null;
  readonly tolerance: AllotmentTolerance;
  /** Time that a message between entries takes. */
  readonly delayMs: Milliseconds;
}

/** A request that an allotment covered. */
export interface CoveredRequest {
  readonly entry: number;
  readonly at: Milliseconds;
  readonly tokens: number;
}

/** Entries that know each other, and a control daemon that answers them. */
export interface EntriesFixture {
  readonly covered: readonly CoveredRequest[];
  /** Reasons of the refusals so far, with the time to come back. */
  readonly refusals: readonly string[];
  readonly asks: number;
  send(entry: number, tokens: number, tier?: number): void;
  pass(durationMs: Milliseconds): void;
  /** Makes another entry the leader of the set. */
  moveLeader(entry: number): void;
  /** Ends an entry and starts it anew; it knows nothing of before. */
  restart(entry: number): void;
  /** Loses all messages between an entry and the others. */
  cut(entry: number, isCut: boolean): void;
}

interface Delivery {
  readonly at: Milliseconds;
  readonly from: number;
  readonly to: number;
  readonly message: EntryMessage;
}

function formatNode(entry: number): NodeId {
  return toIdentifier(`entry-${entry}`);
}

/** Creates entries that have a lease and a configuration. */
export function createEntriesFixture(options: EntriesOptions): EntriesFixture {
  const clock = createManualClock();
  const cuts = new Set<number>();
  const timers = new Map<string, Milliseconds>();
  const open = new Map<string, CoveredRequest>();
  const covered: CoveredRequest[] = [];
  const refusals: string[] = [];
  let deliveries: Delivery[] = [];
  let leader = 0;
  let epoch = 1;
  let version = 1;
  let requests = 0;
  let asks = 0;
  const now = (): Milliseconds => clock.readMonotonic();
  const readEntry = (node: NodeId): number => Number(node.slice(6));
  const perform = (entry: number, order: EntryOrder): void => {
    switch (order.kind) {
      case 'sendEntry': {
        const to = readEntry(order.to);
        const {message} = order;
        asks += message.kind === 'allotmentAsk' ? 1 : 0;
        deliveries.push({
          at: now() + (to === entry ? 0 : options.delayMs),
          from: entry,
          to,
          message,
        });
        return;
      }
      case 'setTimer':
        timers.set(`${entry}/${order.timer.kind}`, now() + order.delayMs);
        return;
      case 'refuseCaller': {
        const {reason, notRun, retryAfterMs} = order.refusal;
        refusals.push(
          `${reason.kind} ${notRun ? 'notRun' : 'mayHaveRun'} ${retryAfterMs !== null && retryAfterMs > 0 ? 'comeBack' : 'never'}`,
        );
        return;
      }
      default:
    }
  };
  const createNode = (entry: number): EntryNode =>
    createEntryNode({
      identity: {
        address: createAddress(entry),
        incarnation: toIdentifier('i1'),
        controls: [toIdentifier(CONTROL)],
        bounds: {
          repeatRatio: 0.2,
          repeatBurst: 8,
          allotmentTolerance: options.tolerance,
        },
      },
      clock,
      perform: order => perform(entry, order),
    });
  const nodes = Array.from({length: options.count}, (_, entry) =>
    createNode(entry),
  );
  const beat = (entry: number): void => {
    const node = nodes[entry]!;
    node.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
    node.post({
      kind: 'controlMessage',
      from: toIdentifier(CONTROL),
      message: {
        kind: 'configurationUpdate',
        sequence: node.view.control.lastSequence,
        fromVersion: 0,
        version,
        changes: listObjects(options.tokens, formatNode(leader), epoch).map(
          object => ({kind: 'put', object}),
        ),
        directory: {
          kind: 'replace',
          directory: {
            version: {term: 1, number: 1, digest: 1},
            entries: nodes.map((_, index) => ({
              address: createAddress(index),
              draining: false,
            })),
          },
        },
        leaseMs: LEASE_MS,
      },
    });
    node.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
  };
  const deliver = (): void => {
    const due = deliveries.filter(({at}) => at <= now());
    deliveries = deliveries.filter(({at}) => at > now());
    for (const {from, to, message} of due) {
      if (from === to || !(cuts.has(from) || cuts.has(to))) {
        nodes[to]!.post({
          kind: 'entryMessage',
          from: formatNode(from),
          message,
        });
      }
    }
  };
  const runTimers = (): void => {
    for (const [name, at] of [...timers]) {
      const [entry, kind] = name.split('/') as [string, EntryTimer['kind']];
      if (at <= now() && kind === 'allotments') {
        timers.delete(name);
        nodes[Number(entry)]!.post({kind: 'timerDue', timer: {kind}});
      }
    }
  };
  const collect = (): void => {
    for (const [id, request] of open) {
      const state = nodes[request.entry]!.view.requests.get(toIdentifier(id));
      if (state?.kind !== 'awaitingAllotment') {
        open.delete(id);
      }
      if (state?.kind === 'waiting') {
        covered.push({...request, at: now()});
        nodes[request.entry]!.post({
          kind: 'callerGone',
          request: toIdentifier(id),
        });
      }
    }
  };
  nodes.forEach((node, entry) => {
    node.post({kind: 'started'});
    beat(entry);
  });
  let nextBeat = now() + HEARTBEAT_MS;
  return {
    covered,
    refusals,
    get asks() {
      return asks;
    },
    send: (entry, tokens, tier = 0) => {
      const id = `q${(requests += 1)}`;
      open.set(id, {entry, at: now(), tokens});
      nodes[entry]!.post({
        kind: 'requestReceived',
        facts: {
          ...createFacts(id),
          tier: toIdentifier<TierId>(TIERS[tier]!),
          terms: {
            route: toIdentifier('r1'),
            maxAttempts: 1,
            timeLimitMs: 6_000,
            objectiveMs: 400,
            patienceMs: 3_000,
            isResumable: false,
            isStream: true,
            allotmentTokens: tokens,
          },
        },
      });
      deliver();
      collect();
    },
    pass: durationMs => {
      const until = now() + durationMs;
      while (now() < until) {
        clock.advance(STEP_MS);
        deliver();
        runTimers();
        if (now() >= nextBeat) {
          nextBeat += HEARTBEAT_MS;
          nodes.forEach((_, entry) => beat(entry));
        }
        deliver();
        collect();
      }
    },
    moveLeader: entry => {
      leader = entry;
      epoch += 1;
      version += 1;
    },
    restart: entry => {
      nodes[entry] = createNode(entry);
      nodes[entry].post({kind: 'started'});
      beat(entry);
    },
    cut: (entry, isCut) => {
      if (isCut) {
        cuts.add(entry);
      } else {
        cuts.delete(entry);
      }
    },
  };
}

function createAddress(entry: number) {
  const address = {host: '127.0.0.1', port: 1 + entry};
  return {
    node: formatNode(entry),
    domain: toIdentifier<never>('a'),
    region: toIdentifier<never>('local'),
    peer: address,
    http: address,
  };
}

function listObjects(
  tokens: TokenAllotment | null,
  leader: NodeId,
  epoch: number,
): readonly ConfigurationObject[] {
  const base = {revision: 1};
  return [
    ...TIERS.map((tier, index): ConfigurationObject => ({
      ...base,
      kind: 'tier',
      id: toIdentifier(tier),
      rank: 2 * (index + 1),
      weight: 1,
      firstTokenTargetMs: 1_000,
      objective: 0.9,
    })),
    {
      ...base,
      kind: 'organisation',
      id: toIdentifier('lab'),
      weight: 1,
      tiers: TIERS.map(tier => toIdentifier(tier)),
      limits: {
        maxRunning: null,
        maxRequestsPerSecond: null,
        ...(tokens === null ? {} : {tokens}),
      },
    },
    {
      ...base,
      kind: 'endpointSet',
      id: toIdentifier(SET),
      region: toIdentifier('local'),
      service: {kind: 'model', model: 'm'},
    },
    {
      ...base,
      kind: 'setLeadership',
      id: toIdentifier(SET),
      node: leader,
      epoch,
    },
    {
      ...base,
      kind: 'requestKind',
      id: toIdentifier('draft'),
      idempotent: true,
      weight: 1,
    },
  ];
}
