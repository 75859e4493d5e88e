import {setTimeout as delay} from 'node:timers/promises';

import {
  buildSiteDocument,
  isStream,
  sendConfiguration,
} from '@gentianshunt/platformWorker';
import type {
  SiteConfiguration,
  SiteRoute,
  SiteRouteKind,
} from '@gentianshunt/platformWorker';

import type {ControlAddress} from './announcer.js';
import type {Recorder} from './recorder.js';

/** Options of the operator. */
export interface OperatorOptions {
  readonly host: string;
  readonly key: string;
  readonly controls: readonly ControlAddress[];
  readonly recorder: Recorder;
  readonly signal: AbortSignal;
}

/** The kinds of routes; each has a route and a service of its name. */
export const ROUTE_KINDS: readonly SiteRouteKind[] = [
  'safe',
  'unsafe',
  'stream',
  'resumableStream',
];

const CALL_TIMEOUT_MS = 4_000;
const STREAM_TIMEOUT_MS = 6_000;
const FIRST_PAUSE_MS = 50;
const MAX_PAUSE_MS = 800;
/** Routes beside those that callers use; they change with the version. */
const EXTRA_ROUTES = 5;

/** Sends a configuration, also again, until a VM acknowledges it. */
export async function sendVersion(
  options: OperatorOptions,
  version: number,
): Promise<void> {
  const {controls, recorder, signal} = options;
  const document = buildSiteDocument(createConfiguration(options, version));
  let pauseMs = FIRST_PAUSE_MS;
  for (let turn = version; !signal.aborted; turn += 1) {
    const {vm, url} = controls[turn % controls.length]!;
    recorder.record({kind: 'orderSent', version, vm});
    const status = (await sendConfiguration(url, document))?.status ?? 0;
    if (status === 200) {
      recorder.record({kind: 'orderAcknowledged', version, vm});
      return;
    }
    if (status >= 400 && status < 500) {
      recorder.record({kind: 'orderRefused', version, vm, status});
      return;
    }
    await delay(pauseMs);
    pauseMs = Math.min(pauseMs * 2, MAX_PAUSE_MS);
  }
}

/** Creates a version: the routes of the callers, and some that change. */
function createConfiguration(
  {host, key}: OperatorOptions,
  version: number,
): SiteConfiguration {
  const routes = ROUTE_KINDS.map(kind => createRoute(kind, kind));
  const extra = Array.from({length: version % EXTRA_ROUTES}, (_, index) =>
    createRoute(`extra-${version}-${index}`, 'safe'),
  );
  return {version, host, key, routes: [...routes, ...extra]};
}

function createRoute(name: string, kind: SiteRouteKind): SiteRoute {
  return {
    name,
    kind,
    service: `s-${kind}`,
    timeoutMs: isStream(kind) ? STREAM_TIMEOUT_MS : CALL_TIMEOUT_MS,
  };
}
