import {setTimeout as delay} from 'node:timers/promises';

import {assertNever} from '@gentianshunt/errors';
import type {Random} from '@gentianshunt/policyBench';
import {startSiteWorker} from '@gentianshunt/platformWorker';
import type {SiteWorker} from '@gentianshunt/platformWorker';

import {createAnnouncer} from './announcer.js';
import type {Announcer, ControlAddress} from './announcer.js';
import {createStream} from './draws.js';
import {planLife} from './endpointLife.js';
import type {EndpointLife} from './endpointLife.js';
import type {LeaveForm} from './recordedEvent.js';
import type {Recorder} from './recorder.js';

/** Options of the endpoints of one place, which follow each other. */
export interface EndpointsOptions {
  readonly seed: number;
  /** Number of the place, which sets the random numbers of its endpoints. */
  readonly place: number;
  readonly host: string;
  readonly service: string;
  readonly zone: string;
  readonly listControls: () => readonly ControlAddress[];
  readonly recorder: Recorder;
  readonly drainMs: number;
  /** Aborts when no endpoint starts any more and those that serve close. */
  readonly signal: AbortSignal;
}

interface Endpoint {
  /** Id and incarnation, as the record names it. */
  readonly name: string;
  readonly worker: SiteWorker;
  readonly announcer: Announcer;
}

/** Streams of random numbers of the places follow this one. */
const FIRST_STREAM = 1_000;
const REPEAT_INTERVAL_MS = 700;
const REPEATS = 3;
/** Time after the last leave until the endpoint closes. */
const AFTER_WITHDRAWAL_MS = 500;

/** Runs endpoints one after the other until the signal aborts. */
export async function runEndpoints(options: EndpointsOptions): Promise<void> {
  const random = createStream(options.seed, FIRST_STREAM + options.place);
  let id = '';
  for (let turn = 0; !options.signal.aborted; turn += 1) {
    const life = planLife(random);
    id = id === '' ? `i-${options.service}-${options.place}-${turn}` : id;
    const endpoint = await startEndpoint(options, random, id, life, turn);
    await serve(options, endpoint, life);
    if (!options.signal.aborted) {
      await endLife(options, endpoint, life);
    }
    await closeEndpoint(options, endpoint);
    if (life.end.kind === 'restart') {
      await wait(options, life.end.downMs);
    } else {
      id = '';
    }
  }
}

async function startEndpoint(
  options: EndpointsOptions,
  random: Random,
  id: string,
  life: EndpointLife,
  turn: number,
): Promise<Endpoint> {
  const {recorder, service} = options;
  const name = `${id}#${turn}`;
  const worker = await startSiteWorker({
    host: options.host,
    id,
    slots: life.slots,
    namedLimit: life.namedLimit,
    onEvent: event => recorder.record({...event, endpoint: name}),
  });
  recorder.record({kind: 'endpointStarted', endpoint: name, service});
  const announcer = createAnnouncer({
    id,
    endpoint: name,
    service,
    zone: options.zone,
    address: worker.address,
    slots: life.slots,
    listControls: options.listControls,
    random,
    recorder,
  });
  return {name, worker, announcer};
}

async function serve(
  options: EndpointsOptions,
  {worker}: Endpoint,
  life: EndpointLife,
): Promise<void> {
  const {unavailableAfterMs, servesMs, unavailableMs} = life;
  if (unavailableAfterMs === null) {
    await wait(options, servesMs);
    return;
  }
  await wait(options, unavailableAfterMs);
  worker.setUnavailable(unavailableMs);
  await wait(options, servesMs - unavailableAfterMs);
}

async function endLife(
  options: EndpointsOptions,
  endpoint: Endpoint,
  life: EndpointLife,
): Promise<void> {
  const {worker} = endpoint;
  const {end} = life;
  switch (end.kind) {
    case 'crash':
    case 'restart':
      return;
    case 'draining':
    case 'withdrawal':
      await announceLeave(options, endpoint, life, end.kind, end.isRepeated);
      return;
    case 'answers':
      worker.setLeaving();
      await wait(options, end.aheadMs);
      await announceLeave(options, endpoint, life, 'draining', false);
      return;
    default:
      assertNever(end, 'endLife');
  }
}

async function announceLeave(
  options: EndpointsOptions,
  {name, announcer}: Endpoint,
  life: EndpointLife,
  form: LeaveForm,
  isRepeated: boolean,
): Promise<void> {
  const {recorder, drainMs} = options;
  if (life.lateHeartbeatMs !== null) {
    announcer.scheduleLateHeartbeat(life.lateHeartbeatMs);
  }
  await announcer.leave(form);
  for (let turn = 0; isRepeated && turn < REPEATS; turn += 1) {
    await wait(options, REPEAT_INTERVAL_MS);
    await announcer.leave(form);
  }
  recorder.record({kind: 'leaveEnded', endpoint: name});
  await wait(options, drainMs + life.lingersMs);
  if (form === 'draining') {
    await announcer.leave('withdrawal');
    await wait(options, AFTER_WITHDRAWAL_MS);
  }
}

async function closeEndpoint(
  {recorder}: EndpointsOptions,
  {name, worker, announcer}: Endpoint,
): Promise<void> {
  announcer.close();
  await worker.close();
  recorder.record({kind: 'endpointEnded', endpoint: name});
}

/** Waits for a time, or until the signal aborts. */
async function wait(
  {signal}: EndpointsOptions,
  milliseconds: number,
): Promise<void> {
  await delay(Math.max(0, milliseconds), undefined, {signal}).catch(
    () => undefined,
  );
}
