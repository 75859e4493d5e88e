import {createServer} from 'node:http';
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {AddressInfo} from 'node:net';

/** Time between two heartbeats, in milliseconds. */
const HEARTBEAT_INTERVAL_MS = 300;
/** Time between two events of a stream, in milliseconds. */
const EVENT_INTERVAL_MS = 20;
/** Value of the response seal header; the stand-in computes none. */
const RESPONSE_SEAL = 'stand-in';

/** Options of a stand-in worker. */
export interface PlatformWorkerOptions {
  readonly host: string;
  readonly id: string;
  readonly service: string;
  readonly zone: string;
  /** Base URLs of the daemons that take heartbeats, used in rotation. */
  readonly controls: readonly string[];
  /** Events in each streamed answer; with 0 the answer is a plain body. */
  readonly events: number;
}

/** A request that the worker received. */
export interface WorkerCall {
  readonly method: string;
  readonly url: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
}

/** A running stand-in worker. */
export interface PlatformWorker {
  readonly calls: readonly WorkerCall[];
  /** Number of calls whose connection closed before the answer ended. */
  readonly abandoned: number;
  /** Announces the state `draining`; resolves once a daemon accepts it. */
  leave(): Promise<void>;
  close(): Promise<void>;
}

/** Starts a worker that sends heartbeats until it is closed. */
export async function startPlatformWorker(
  options: PlatformWorkerOptions,
): Promise<PlatformWorker> {
  const {host, id, controls} = options;
  const calls: WorkerCall[] = [];
  let abandoned = 0;
  const server = createServer((request, response) => {
    void readBody(request).then(body => {
      const {method = '', url = '', headers} = request;
      calls.push({method, url, headers, body});
      response.once('close', () => {
        abandoned += response.writableFinished ? 0 : 1;
      });
      answer(options, request, response);
    });
  });
  await new Promise<void>(resolve => server.listen(0, host, resolve));
  const {port} = server.address() as AddressInfo;
  const born = Date.now();
  let sequence = 0;
  const announce = async (state: 'ready' | 'draining'): Promise<boolean> => {
    sequence += 1;
    const heartbeat = {
      service: options.service,
      address: `${host}:${port}`,
      zone: options.zone,
      version: 'v1',
      slots: 4,
      state,
      cold_left_ms: 0,
      sequence,
      born,
    };
    const control = controls[sequence % controls.length]!;
    return callControl(`${control}/v1/instances/${id}`, 'PUT', heartbeat);
  };
  let state: 'ready' | 'draining' = 'ready';
  const timer = setInterval(() => void announce(state), HEARTBEAT_INTERVAL_MS);
  await announce(state);
  return {
    calls,
    get abandoned() {
      return abandoned;
    },
    leave: async () => {
      state = 'draining';
      while (!(await announce(state))) {
        await new Promise(resolve =>
          setTimeout(resolve, HEARTBEAT_INTERVAL_MS),
        );
      }
    },
    close: async () => {
      clearInterval(timer);
      server.closeAllConnections();
      await new Promise(resolve => server.close(resolve));
    },
  };
}

async function callControl(
  url: string,
  method: string,
  body: object,
): Promise<boolean> {
  try {
    const headers = {'content-type': 'application/json'};
    const reply = await fetch(url, {
      method,
      headers,
      body: JSON.stringify(body),
    });
    await reply.arrayBuffer();
    return reply.ok;
  } catch {
    // The next heartbeat goes to the next daemon of the rotation.
    return false;
  }
}

async function readBody(request: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks).toString('utf8');
}

function answer(
  {id, events}: PlatformWorkerOptions,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  if (request.headers['x-gentianshunt-expect-instance'] !== id) {
    response.writeHead(421, {'x-gentianshunt-instance-id': id}).end();
    return;
  }
  response.setHeader(
    'x-gentianshunt-attempt-id',
    String(request.headers['x-gentianshunt-attempt-id']),
  );
  response.setHeader('x-gentianshunt-response-seal', RESPONSE_SEAL);
  if (events === 0) {
    response.end('done');
    return;
  }
  response.setHeader('content-type', 'text/event-stream');
  let sent = 0;
  const timer = setInterval(() => {
    sent += 1;
    response.write(`id: ${sent}\ndata: piece ${sent}\n\n`);
    if (sent === events) {
      clearInterval(timer);
      response.end();
    }
  }, EVENT_INTERVAL_MS);
  response.once('close', () => clearInterval(timer));
}
