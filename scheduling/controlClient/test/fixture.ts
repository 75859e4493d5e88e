import {createControlLoop} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import type {Tier} from '@gentianshunt/configuration';
import {createEntrySections, refuseUnadmitted} from '@gentianshunt/entryModel';
import type {
  AdmittedRequest,
  EntryController,
  EntryEffect,
  EntryObservation,
  EntrySections,
  Refusal,
  RefusalReason,
} from '@gentianshunt/entryModel';
import type {ControlToEntry, EntryToControl} from '@gentianshunt/messages';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {IncarnationId} from '@gentianshunt/identifiers';

/** Creates an entry's control loop with some of its controllers. */
export function createEntryFixture(controllers: readonly EntryController[]) {
  const clock = createManualClock();
  const effects: EntryEffect[] = [];
  const loop = createControlLoop<EntrySections, EntryObservation, EntryEffect>({
    sections: createEntrySections({
      address: {
        node: toIdentifier('n1'),
        region: toIdentifier('local'),
        domain: toIdentifier('d'),
        peer: {host: '127.0.0.1', port: 1},
        http: {host: '127.0.0.1', port: 2},
      },
      incarnation: toIdentifier('i1'),
      controlNodes: [toIdentifier('c0'), toIdentifier('c1')],
    }),
    controllers,
    clock,
    perform: effect => effects.push(effect),
  });
  return {
    loop,
    clock,
    /** Takes the messages that were sent to control daemons. */
    takeSent: (): readonly EntryToControl[] =>
      effects
        .splice(0)
        .flatMap(effect =>
          effect.kind === 'sendControl' ? [effect.message] : [],
        ),
    /** Takes the heartbeats that were sent, with their receivers. */
    takeHeartbeats: (): readonly TestHeartbeat[] =>
      effects
        .splice(0)
        .flatMap(effect =>
          effect.kind === 'sendControl' &&
          effect.message.kind === 'entryHeartbeat'
            ? [{to: effect.to, sequence: effect.message.sequence}]
            : [],
        ),
    receive: (message: ControlToEntry, from = 'c0') =>
      loop.post({kind: 'controlMessage', from: toIdentifier(from), message}),
    tick: (ms: number) => {
      clock.advance(ms);
      loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
    },
  };
}

/** A heartbeat of the fixture's entry. */
export interface TestHeartbeat {
  readonly to: string;
  readonly sequence: number;
}

/** An entry's control loop, with access to its clock and messages. */
export type EntryFixture = ReturnType<typeof createEntryFixture>;

/** Creates a configuration update that puts tiers. */
export function createUpdate(
  fromVersion: number,
  version: number,
  tiers: readonly Tier[],
  changes: Partial<
    Extract<ControlToEntry, {readonly kind: 'configurationUpdate'}>
  > = {},
): ControlToEntry {
  return {
    kind: 'configurationUpdate',
    sequence: null,
    incarnation: toIdentifier<IncarnationId>('i1'),
    fromVersion,
    version,
    changes: tiers.map(object => ({kind: 'put', object})),
    directory: null,
    leaseMs: 3_000,
    ...changes,
  };
}

export function createTier(id: string, rank = 1): Tier {
  return {
    kind: 'tier',
    id: toIdentifier(id),
    revision: 1,
    rank,
    weight: 1,
    firstTokenTargetMs: 100,
    objective: 0.95,
  };
}

export function createRequest(id: string): AdmittedRequest {
  return {
    id: toIdentifier(id),
    organisation: toIdentifier('north'),
    tier: toIdentifier('gold'),
    set: toIdentifier('drafts'),
    kind: toIdentifier('draft'),
    claim: null,
    promptTokens: 1,
    maxTokens: 1,
    prefix: null,
    rank: 1,
    value: 1,
    arrivedAt: 0,
  };
}

export function createRefusal(
  id: string,
  reason: RefusalReason = {kind: 'shed'},
): Refusal {
  return refuseUnadmitted(createRequest(id), reason, null);
}
