import type {Random} from '@gentianshunt/policyBench';
import {
  parseHeartbeatAddress,
  sendHeartbeat,
  sendWithdrawal,
} from '@gentianshunt/platformWorker';
import type {SiteHeartbeat, SiteReply} from '@gentianshunt/platformWorker';

import {drawItem} from './draws.js';
import type {LeaveForm} from './recordedEvent.js';
import type {Recorder} from './recorder.js';

/** A control address and the VM that it belongs to. */
export interface ControlAddress {
  readonly vm: string;
  readonly url: string;
}

/** Options of the announcements of one endpoint. */
export interface AnnouncerOptions {
  readonly id: string;
  /** Id and incarnation, as the record names it. */
  readonly endpoint: string;
  readonly service: string;
  readonly zone: string;
  readonly address: string;
  readonly slots: number;
  readonly listControls: () => readonly ControlAddress[];
  readonly random: Random;
  readonly recorder: Recorder;
}

/** Sends the heartbeats of one endpoint, and its leave. */
export interface Announcer {
  /** Says that the endpoint leaves, at one VM after the other. */
  leave(form: LeaveForm): Promise<void>;
  /** Sends a heartbeat of now after some time, through another VM. */
  scheduleLateHeartbeat(afterMs: number): void;
  /** Ends the heartbeats. */
  close(): void;
}

interface AnnouncerState {
  readonly options: AnnouncerOptions;
  readonly born: number;
  sequence: number;
  state: 'ready' | 'draining';
  /** The VM that takes the next heartbeat first. */
  target: ControlAddress | undefined;
}

const HEARTBEAT_INTERVAL_MS = 1_200;
const HEARTBEAT_TRIES = 3;
const LEAVE_TRIES = 8;

/** Starts the heartbeats of an endpoint. */
export function createAnnouncer(options: AnnouncerOptions): Announcer {
  const state: AnnouncerState = {
    options,
    born: Date.now(),
    sequence: 0,
    state: 'ready',
    target: undefined,
  };
  const timer = setInterval(() => void announce(state), HEARTBEAT_INTERVAL_MS);
  void announce(state);
  return {
    leave: async form => {
      if (form === 'draining') {
        state.state = 'draining';
      } else {
        clearInterval(timer);
      }
      await sendLeave(state, form);
    },
    scheduleLateHeartbeat: afterMs => {
      const heartbeat = createHeartbeat(state);
      const control = drawItem(options.random, options.listControls());
      setTimeout(() => {
        const {id, endpoint, recorder} = options;
        const {vm} = control;
        recorder.record({kind: 'lateHeartbeatSent', endpoint, vm});
        void sendHeartbeat(control.url, id, heartbeat);
      }, afterMs);
    },
    close: () => clearInterval(timer),
  };
}

/** Sends a heartbeat to one VM after the other until one accepts it. */
async function announce(state: AnnouncerState): Promise<void> {
  const heartbeat = createHeartbeat(state);
  for (let turn = 0; turn < HEARTBEAT_TRIES; turn += 1) {
    const control = state.target ?? drawControl(state);
    const isLeave = heartbeat.state === 'draining';
    const reply = isLeave
      ? await callLeave(state, control, 'draining', heartbeat)
      : await sendHeartbeat(control.url, state.options.id, heartbeat);
    if (isAccepted(reply)) {
      learnTarget(state, reply);
      return;
    }
    state.target = undefined;
  }
}

async function sendLeave(
  state: AnnouncerState,
  form: LeaveForm,
): Promise<void> {
  const heartbeat = createHeartbeat(state);
  for (let turn = 0; turn < LEAVE_TRIES; turn += 1) {
    const control = drawControl(state);
    if (isAccepted(await callLeave(state, control, form, heartbeat))) {
      return;
    }
  }
}

async function callLeave(
  {options}: AnnouncerState,
  {url, vm}: ControlAddress,
  form: LeaveForm,
  heartbeat: SiteHeartbeat,
): Promise<SiteReply | undefined> {
  const {id, endpoint, recorder} = options;
  recorder.record({kind: 'leaveSent', endpoint, vm, form});
  const reply =
    form === 'draining'
      ? await sendHeartbeat(url, id, heartbeat)
      : await sendWithdrawal(url, id);
  if (isAccepted(reply)) {
    recorder.record({kind: 'leaveAcknowledged', endpoint, vm, form});
  }
  return reply;
}

function createHeartbeat(state: AnnouncerState): SiteHeartbeat {
  const {service, address, zone, slots} = state.options;
  state.sequence += 1;
  return {
    service,
    address,
    zone,
    slots,
    state: state.state,
    sequence: state.sequence,
    born: state.born,
  };
}

function drawControl({options}: AnnouncerState): ControlAddress {
  return drawItem(options.random, options.listControls());
}

function learnTarget(state: AnnouncerState, reply: SiteReply): void {
  const url = parseHeartbeatAddress(reply);
  const named = state.options
    .listControls()
    .find(control => control.url === url);
  state.target = named ?? state.target;
}

function isAccepted(reply: SiteReply | undefined): reply is SiteReply {
  return reply !== undefined && reply.status >= 200 && reply.status < 300;
}
