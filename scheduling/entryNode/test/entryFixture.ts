import {createManualClock} from '@gentianshunt/clock';
import type {ManualClock} from '@gentianshunt/clock';
import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {
  EntryEffect,
  EntryObservation,
  RequestAttributes,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {IncarnationId} from '@gentianshunt/identifiers';
import type {
  ClaimAnswer,
  ControlToEntry,
  EntryToControl,
} from '@gentianshunt/messages';

import {createEntryNode} from '../src/index.js';
import type {EntryNode} from '../src/index.js';

const SELF = 'entry-0';
const CONTROL = 'control-0';
const LEASE_MS = 3_000;
const HOUSEKEEPING_MS = 250;
const SLOW_HEARTBEATS = 12;
const SET_LEADER_RECOVERY_MS = 8_000;

/** A single entry that leads two sets with one endpoint each. */
export interface EntryFixture {
  readonly node: EntryNode;
  readonly clock: ManualClock;
  /** Lists the effects of a kind since the fixture was created. */
  list<Kind extends EntryEffect['kind']>(
    kind: Kind,
  ): readonly Extract<EntryEffect, {readonly kind: Kind}>[];
  /** Lists the messages of a kind that were sent to the control daemon. */
  listSent<Kind extends EntryToControl['kind']>(
    kind: Kind,
  ): readonly Extract<EntryToControl, {readonly kind: Kind}>[];
  post(observation: EntryObservation): void;
  receive(message: ControlToEntry): void;
  answerClaim(request: string, answer: ClaimAnswer): void;
  /** Advances the clock; answers heartbeats and fires the due timers. */
  advance(durationMs: number): void;
  /** Sends heartbeats whose replies come late, until that is usual. */
  slowDown(roundTripMs: number): void;
}

/** Creates an entry with a lease, a configuration and endpoints. */
export function createEntryFixture(): EntryFixture {
  const clock = createManualClock();
  const effects: EntryEffect[] = [];
  const node = createEntryNode({
    identity: createIdentity(),
    clock,
    perform: effect => {
      effects.push(effect);
      if (effect.kind === 'sendEntry') {
        const {message} = effect;
        node.post({kind: 'entryMessage', from: toIdentifier(SELF), message});
      }
    },
  });
  const receive = (message: ControlToEntry): void =>
    node.post({kind: 'controlMessage', from: toIdentifier(CONTROL), message});
  const list: EntryFixture['list'] = kind =>
    effects.filter(effect => effect.kind === kind) as never;
  const listSent: EntryFixture['listSent'] = kind =>
    list('sendControl')
      .map(effect => effect.message)
      .filter(message => message.kind === kind) as never;
  const runHeartbeat = (): void => {
    node.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
    receive(createUpdate(listSent('entryHeartbeat').at(-1)!.sequence));
    announce(node);
    node.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
    node.post({kind: 'timerDue', timer: {kind: 'demandReporting'}});
  };
  const advance = (durationMs: number): void => {
    for (let passed = 0; passed < durationMs; passed += HOUSEKEEPING_MS) {
      clock.advance(HOUSEKEEPING_MS);
      runHeartbeat();
    }
  };
  node.post({kind: 'started'});
  runHeartbeat();
  // A new set leader grants no slots until this time has passed.
  advance(SET_LEADER_RECOVERY_MS);
  return {
    node,
    clock,
    list,
    listSent,
    post: observation => node.post(observation),
    receive,
    answerClaim: (request, answer) =>
      receive({
        kind: 'claimReply',
        key: createClaimKey(),
        request: toIdentifier(request),
        answer,
      }),
    advance,
    slowDown: roundTripMs => {
      for (let count = 0; count < SLOW_HEARTBEATS; count += 1) {
        node.post({kind: 'timerDue', timer: {kind: 'heartbeat'}});
        clock.advance(roundTripMs);
        receive(createUpdate(listSent('entryHeartbeat').at(-1)!.sequence));
      }
    },
  };
}

function createIdentity(): Parameters<typeof createEntryNode>[0]['identity'] {
  return {
    address: createAddress(),
    incarnation: toIdentifier('i1'),
    controlNodes: [toIdentifier(CONTROL)],
  };
}

function createAddress() {
  const address = {host: '127.0.0.1', port: 1};
  return {
    node: toIdentifier<never>(SELF),
    domain: toIdentifier<never>('a'),
    region: toIdentifier<never>('local'),
    peer: address,
    http: address,
  };
}

/** Creates the claim key of the fixture's non-idempotent requests. */
export function createClaimKey() {
  return {organisation: toIdentifier<never>('lab'), idempotencyKey: 'key-1'};
}

function createUpdate(sequence: number): ControlToEntry {
  const directory = {
    version: {term: 1, number: 1, digest: 1},
    entries: [{address: createAddress(), draining: false}],
  };
  return {
    kind: 'configurationUpdate',
    sequence,
    incarnation: toIdentifier<IncarnationId>('i1'),
    fromVersion: 0,
    version: 1,
    changes: listObjects().map(object => ({kind: 'put', object})),
    directory: {kind: 'replace', directory},
    leaseMs: LEASE_MS,
  };
}

function announce(node: EntryNode): void {
  for (const set of ['drafts', 'registry']) {
    node.post({
      kind: 'endpointContact',
      announcement: {
        endpoint: toIdentifier(`${set}-0`),
        incarnation: toIdentifier('p1'),
        set: toIdentifier(set),
        domain: toIdentifier('a'),
        url: `http://${set}`,
        concurrency: 4,
        checksFencing: false,
        load: null,
        leaving: false,
      },
    });
  }
}

function listObjects(): readonly ConfigurationObject[] {
  const base = {revision: 1};
  const gold = toIdentifier<never>('gold');
  const sets = [
    {id: 'drafts', service: {kind: 'model', model: 'm'} as const},
    {id: 'registry', service: {kind: 'plain', service: 's'} as const},
  ];
  return [
    {
      ...base,
      kind: 'tier',
      id: gold,
      rank: 1,
      weight: 1,
      firstTokenTargetMs: 1_000,
      objective: 0.9,
    },
    {
      ...base,
      kind: 'organisation',
      id: toIdentifier('lab'),
      weight: 1,
      tiers: [gold],
      limits: {maxRunning: null, maxRequestsPerSecond: null},
    },
    ...sets.flatMap(({id, service}): readonly ConfigurationObject[] => [
      {
        ...base,
        kind: 'endpointSet',
        id: toIdentifier(id),
        region: toIdentifier('local'),
        service,
      },
      {
        ...base,
        kind: 'setLeadership',
        id: toIdentifier(id),
        node: toIdentifier(SELF),
        epoch: 1,
      },
    ]),
    createRequestKind('draft', true),
    createRequestKind('issue', false),
  ];
}

function createRequestKind(
  id: string,
  idempotent: boolean,
): ConfigurationObject {
  return {
    kind: 'requestKind',
    id: toIdentifier(id),
    revision: 1,
    idempotent,
    weight: 1,
  };
}

/** Creates the attributes of an idempotent request, or of one with a key. */
export function createRequestAttributes(
  id: string,
  hasKey = false,
): RequestAttributes {
  return {
    id: toIdentifier(id),
    organisation: toIdentifier('lab'),
    tier: null,
    set: toIdentifier(hasKey ? 'registry' : 'drafts'),
    kind: toIdentifier(hasKey ? 'issue' : 'draft'),
    claim: hasKey ? {idempotencyKey: 'key-1', digest: 'd'} : null,
    promptTokens: 1,
    maxTokens: 1,
    prefix: null,
  };
}
