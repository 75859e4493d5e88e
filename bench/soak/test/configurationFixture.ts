import type {
  ConfigurationContent,
  OrderForm,
  ProbeTarget,
  RecordedEvent,
} from '../src/index.js';

/** The content of a version, unless a test names another one. */
export const CONTENT: ConfigurationContent = {
  movingService: 's-safe',
  extraRoutes: [],
  extraKeys: [],
  hasRefusedRoute: false,
};

interface OrderOptions {
  readonly vm?: string;
  readonly form?: OrderForm;
  readonly content?: Partial<ConfigurationContent>;
  readonly routes?: number;
}

/** Creates a document that was sent; its digest names the version. */
export function createOrderSent(
  at: number,
  version: number,
  {vm = 'core-1', form = 'change', content, routes = 0}: OrderOptions = {},
): RecordedEvent {
  return {
    at,
    kind: 'orderSent',
    form,
    version,
    vm,
    content: {...CONTENT, ...content},
    digest: formatDigest(version),
    routes,
  };
}

/** Creates the acknowledgement of a document. */
export function createOrderAcknowledged(
  at: number,
  version: number,
  {vm = 'core-1', form = 'change'}: OrderOptions = {},
): RecordedEvent {
  return {at, kind: 'orderAcknowledged', form, version, vm};
}

/** Creates a version that was sent 50 ms before it was acknowledged. */
export function createVersion(
  acknowledgedAt: number,
  version: number,
  content: Partial<ConfigurationContent> = {},
): readonly RecordedEvent[] {
  return [
    createOrderSent(acknowledgedAt - 50, version, {content}),
    createOrderAcknowledged(acknowledgedAt, version),
  ];
}

/** Creates a read; the answer follows 10 ms later. */
export function createRead(
  sentAt: number,
  version: number | null,
  options: {readonly vm?: string; readonly digest?: string} = {},
): RecordedEvent {
  const {vm = 'plain-1', digest} = options;
  const isRead = version !== null;
  return {
    at: sentAt + 10,
    kind: 'configurationRead',
    vm,
    sentAt,
    status: isRead ? 200 : 503,
    version,
    digest: isRead ? (digest ?? formatDigest(version)) : null,
  };
}

/** Creates a probe call that an endpoint of a service ran. */
export function createProbeRun(
  sentAt: number,
  target: ProbeTarget,
  service: string,
  vm = 'plain-1',
): readonly RecordedEvent[] {
  const attempt = `p-${vm}-${sentAt}`;
  const endpoint = `e-${service}`;
  return [
    {at: 1, kind: 'endpointStarted', endpoint, service},
    {at: sentAt, kind: 'probeSent', attempt, vm, target},
    {
      at: sentAt + 5,
      kind: 'runStarted',
      attempt,
      endpoint,
      isIntact: true,
      plannedMs: 5,
    },
    {at: sentAt + 10, kind: 'probeEnded', attempt, status: 200},
  ];
}

/** Creates a probe call that was answered without a run. */
export function createProbeAnswer(
  sentAt: number,
  target: ProbeTarget,
  status: number,
  vm = 'plain-1',
): readonly RecordedEvent[] {
  const attempt = `p-${vm}-${sentAt}`;
  return [
    {at: sentAt, kind: 'probeSent', attempt, vm, target},
    {at: sentAt + 10, kind: 'probeEnded', attempt, status},
  ];
}

function formatDigest(version: number): string {
  return `digest-${version}`;
}
