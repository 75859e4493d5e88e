/** An entry with a withdrawal controller and a directory that changes. */
import {createControlLoop} from '@gentianshunt/board';
import type {ControlLoop} from '@gentianshunt/board';
import {createManualClock} from '@gentianshunt/clock';
import type {ManualClock} from '@gentianshunt/clock';
import {
  createEntrySections,
  defineEntryController,
} from '@gentianshunt/entryModel';
import type {
  EntryController,
  EntryEffect,
  EntryObservation,
  EntrySections,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {EndpointId, NodeId} from '@gentianshunt/identifiers';
import type {EntryAddress} from '@gentianshunt/messages';

import {createWithdrawalController} from '../src/index.js';

export const SELF = 'n1';
export const OTHER = 'n2';
export const ENDPOINT = toIdentifier<EndpointId>('e1');
const TICK_MS = 100;

export interface LeaveFixture {
  readonly loop: ControlLoop<EntrySections, EntryObservation>;
  readonly clock: ManualClock;
  readonly effects: EntryEffect[];
  /** Replaces the directory. */
  list(...nodes: readonly string[]): void;
  /** Lets time pass with the periodic checks that fall into it. */
  run(durationMs: number): void;
  /** Lists the answers to the endpoint. */
  listAnswers(): readonly boolean[];
}

function createAddress(node: string): EntryAddress {
  const address = {host: '127.0.0.1', port: 1};
  return {
    node: toIdentifier<NodeId>(node),
    domain: toIdentifier<never>('a'),
    region: toIdentifier<never>('local'),
    peer: address,
    http: address,
  };
}

function createDirectorySource(
  readNodes: () => readonly string[],
): EntryController {
  return defineEntryController<'control', 'control'>({
    name: 'directorySource',
    reads: ['control'],
    writes: ['control'],
    observes: ['controlNodesLearned'],
    run: ({board}) => [
      {
        kind: 'set',
        section: 'control',
        value: {
          ...board.control,
          directory: {
            version: {term: 1, number: 1, digest: 1},
            entries: readNodes().map(node => ({
              address: createAddress(node),
              draining: false,
            })),
          },
        },
      },
    ],
  });
}

/** Creates an entry that knows no directory yet. */
export function createLeaveFixture(): LeaveFixture {
  const clock = createManualClock();
  const effects: EntryEffect[] = [];
  let listed: readonly string[] = [];
  const loop = createControlLoop<EntrySections, EntryObservation, EntryEffect>({
    sections: createEntrySections({
      address: createAddress(SELF),
      incarnation: toIdentifier('i1'),
      controlNodes: [],
    }),
    controllers: [
      createDirectorySource(() => listed),
      createWithdrawalController(),
    ],
    clock,
    perform: effect => {
      effects.push(effect);
    },
  });
  return {
    loop,
    clock,
    effects,
    list: (...nodes) => {
      listed = nodes;
      loop.post({kind: 'controlNodesLearned', nodes: []});
    },
    run: durationMs => {
      for (let elapsed = 0; elapsed < durationMs; elapsed += TICK_MS) {
        clock.advance(TICK_MS);
        loop.post({kind: 'timerDue', timer: {kind: 'housekeeping'}});
      }
    },
    listAnswers: () =>
      effects.flatMap(effect =>
        effect.kind === 'settleLeave' ? [effect.isConfirmed] : [],
      ),
  };
}
