import type {Clock} from '@gentianshunt/clock';
import type {EntryNode} from '@gentianshunt/entryNode';
import type {
  EntryController,
  EntryEffect,
  EntryMessage,
} from '@gentianshunt/entryModel';
import type {EntryToControl} from '@gentianshunt/messages';

import type {Attempt} from './caller.js';
import type {FakeEndpoint} from './fakeEndpoint.js';
import type {FakeProcess} from './fakeProcess.js';
import type {Network} from './network.js';
import type {StepListener} from './steps.js';
import type {TraceEvent} from './trace.js';

/** What a simulated entry sends to or calls: other nodes and endpoints. */
export interface EntryPeers {
  sendToEntry(to: string, message: EntryMessage): void;
  sendToControl(to: string, message: EntryToControl): void;
  findEndpoint(id: string): FakeEndpoint;
  answerOperator(
    effect: Extract<EntryEffect, {readonly kind: 'answerOperator'}>,
  ): void;
}

/** Options of a simulated entry. */
export interface EntryHostOptions {
  readonly process: FakeProcess;
  readonly clock: Clock;
  readonly network: Network;
  readonly peers: EntryPeers;
  readonly record: (event: TraceEvent) => void;
  readonly onStep: StepListener;
  /** Creates the controllers of the entry instead of the usual ones. */
  readonly createControllers?: () => readonly EntryController[];
}

/** What a simulated entry holds besides its node. */
export interface HostState {
  node: EntryNode;
  /** Node names in the latest answer to a lookup. */
  addresses: readonly string[];
  readonly attempts: Map<string, Attempt>;
  readonly streams: Map<string, OpenStream>;
}

/** An answer that arrives from an endpoint. */
interface OpenStream {
  readonly attempt: Attempt;
  readonly received: string[];
}
