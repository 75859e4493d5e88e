import {request} from 'node:http';

/** Header that carries the id of a caller's request. */
export const ATTEMPT_HEADER = 'x-gentianshunt-attempt-id';
/** Header by which an endpoint marks its answers. */
export const SEAL_HEADER = 'x-gentianshunt-response-seal';

/** Longest wait for the answer to a heartbeat or a configuration. */
const ANSWER_TIMEOUT_MS = 1_000;

/** What an endpoint says of itself. */
export interface SiteHeartbeat {
  readonly service: string;
  readonly address: string;
  readonly zone: string;
  readonly slots: number;
  readonly state: 'ready' | 'draining';
  readonly sequence: number;
  /** Start of the endpoint, in Unix milliseconds. */
  readonly born: number;
}

/** The answer to a call, or `undefined` if none came in time. */
export interface SiteReply {
  readonly status: number;
  readonly body: string;
}

/** Builds the headers of a caller's request. */
export function buildCallerHeaders(options: {
  readonly attempt: string;
  readonly host: string;
  readonly key: string;
  readonly timeLeftMs: number;
}): Readonly<Record<string, string>> {
  return {
    host: options.host,
    authorization: `Bearer ${options.key}`,
    [ATTEMPT_HEADER]: options.attempt,
    'x-gentianshunt-deadline-ms': String(options.timeLeftMs),
  };
}

/** Sends a heartbeat of an endpoint to a control address. */
export function sendHeartbeat(
  control: string,
  id: string,
  heartbeat: SiteHeartbeat,
): Promise<SiteReply | undefined> {
  const body = JSON.stringify({
    ...heartbeat,
    version: 'v1',
    cold_left_ms: 0,
  });
  return callOnce('PUT', `${control}/v1/instances/${id}`, body);
}

/** Reads the address that an answer to a heartbeat names for later ones. */
export function parseHeartbeatAddress({body}: SiteReply): string | undefined {
  const address = /"heartbeat_address":"([^"]+)"/.exec(body)?.[1];
  return address === undefined ? undefined : `http://${address}`;
}

/** Withdraws an endpoint at a control address. */
export function sendWithdrawal(
  control: string,
  id: string,
): Promise<SiteReply | undefined> {
  return callOnce('DELETE', `${control}/v1/instances/${id}`);
}

/** Sends the bytes of a configuration document to a control address. */
export function sendConfiguration(
  control: string,
  document: Buffer,
  timeoutMs = ANSWER_TIMEOUT_MS,
): Promise<SiteReply | undefined> {
  return callOnce('PUT', `${control}/v1/config`, document, timeoutMs);
}

/** Reads the configuration at a control address. */
export function readConfiguration(
  control: string,
  timeoutMs = ANSWER_TIMEOUT_MS,
): Promise<SiteReply | undefined> {
  return callOnce('GET', `${control}/v1/config`, '', timeoutMs);
}

/** Asks a VM at its readiness address whether it is ready. */
export async function isVmReady(readiness: string): Promise<boolean> {
  const reply = await callOnce('GET', `${readiness}/v1/ready`);
  return reply?.status === 200;
}

/** Makes one call on a connection of its own. */
function callOnce(
  method: string,
  url: string,
  body: string | Buffer = '',
  timeoutMs = ANSWER_TIMEOUT_MS,
): Promise<SiteReply | undefined> {
  return new Promise(resolve => {
    const headers = {
      'content-type': 'application/json',
      'content-length': Buffer.byteLength(body),
    };
    const call = request(url, {method, headers, agent: false}, response => {
      let text = '';
      response.setEncoding('utf8');
      response.on('data', (chunk: string) => (text += chunk));
      response.on('error', () => end(undefined));
      response.on('end', () =>
        end({status: response.statusCode ?? 0, body: text}),
      );
    });
    const timer = setTimeout(() => end(undefined), timeoutMs);
    const end = (reply: SiteReply | undefined): void => {
      clearTimeout(timer);
      call.destroy();
      resolve(reply);
    };
    call.on('error', () => end(undefined));
    call.end(body);
  });
}
