import {setTimeout as delay} from 'node:timers/promises';

import {Agent, request} from 'undici';
import type {Dispatcher} from 'undici';

import {createAddressClient} from './addressClient.js';
import type {AddressClient} from './addressClient.js';
import type {CallEnd, CallResult} from './callResult.js';
import type {PlannedCall} from './loadPlan.js';

export interface RunLoadOptions {
  /** Base URLs of entries that may be queried for addresses. */
  readonly entries: readonly string[];
  readonly plan: readonly PlannedCall[];
  readonly onEnded?: (result: CallResult) => void;
}

const END_OF_STREAM = 'data: [DONE]\n\n';
/** A text that the entries estimate as one token. */
const TOKEN_TEXT = 'abc ';

/** Sends the planned requests and returns their results. */
export async function runLoad(
  options: RunLoadOptions,
): Promise<readonly CallResult[]> {
  const agent = new Agent({connections: null, pipelining: 1});
  const clients = new Map<string, AddressClient>();
  try {
    return await Promise.all(
      options.plan.map(async call => {
        await delay(call.startMs);
        const client = findClient(clients, options.entries, call);
        const result = await runCall(agent, client, call);
        options.onEnded?.(result);
        return result;
      }),
    );
  } finally {
    await agent.destroy();
  }
}

function findClient(
  clients: Map<string, AddressClient>,
  entries: readonly string[],
  call: PlannedCall,
): AddressClient {
  const {organisation} = call;
  const {set} = call.target;
  const key = `${organisation}/${set}`;
  const existing = clients.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = createAddressClient({
    entries,
    organisation,
    set,
    readTime: () => performance.now(),
  });
  clients.set(key, created);
  return created;
}

async function runCall(
  agent: Dispatcher,
  client: AddressClient,
  call: PlannedCall,
): Promise<CallResult> {
  const startedAt = performance.now();
  const controller = new AbortController();
  const timer =
    call.patienceMs === null
      ? undefined
      : setTimeout(() => controller.abort(), call.patienceMs);
  let firstByteMs: number | null = null;
  const recordFirstByte = (): void => {
    firstByteMs ??= performance.now() - startedAt;
  };
  let end: CallEnd;
  try {
    const addresses = await client.readAddresses();
    const url = addresses[call.index % addresses.length]!;
    end = await sendCall(agent, url, call, controller.signal, recordFirstByte);
  } catch (error) {
    client.forgetAddresses();
    end = controller.signal.aborted
      ? {kind: 'cancelled'}
      : {kind: 'failed', detail: (error as Error).message};
  } finally {
    clearTimeout(timer);
  }
  return {call, end, firstByteMs, totalMs: performance.now() - startedAt};
}

async function sendCall(
  agent: Dispatcher,
  url: string,
  call: PlannedCall,
  signal: AbortSignal,
  recordFirstByte: () => void,
): Promise<CallEnd> {
  const reply = await request(`${url}${readPath(call)}`, {
    dispatcher: agent,
    method: 'POST',
    headers: listHeaders(call),
    body: JSON.stringify(createBody(call)),
    signal,
  });
  const chunks: Buffer[] = [];
  for await (const chunk of reply.body as AsyncIterable<Buffer>) {
    recordFirstByte();
    chunks.push(chunk);
  }
  const text = Buffer.concat(chunks).toString('utf8');
  if (reply.statusCode !== 200) {
    const notRun = text.includes('"notRun":true');
    return {kind: 'refused', status: reply.statusCode, notRun};
  }
  const isComplete =
    call.target.kind === 'service' || text.endsWith(END_OF_STREAM);
  return isComplete
    ? {kind: 'answered'}
    : {kind: 'failed', detail: 'the answer ended before its end mark'};
}

function listHeaders(call: PlannedCall): Record<string, string> {
  return {
    'content-type': 'application/json',
    'x-organisation': call.organisation,
    'x-tier': call.tier,
    'x-kind': call.requestKind,
    ...(call.idempotencyKey === null
      ? {}
      : {'idempotency-key': call.idempotencyKey}),
  };
}

function readPath(call: PlannedCall): string {
  const {target} = call;
  switch (target.kind) {
    case 'chat':
      return '/v1/chat/completions';
    case 'service':
      return `/v1/services/${target.set}/${target.path}`;
  }
}

function createBody(call: PlannedCall): unknown {
  const {target} = call;
  switch (target.kind) {
    case 'chat': {
      const content = `${call.index} ${TOKEN_TEXT.repeat(target.promptTokens)}`;
      return {
        model: target.set,
        messages: [{role: 'user', content}],
        max_tokens: target.maxTokens,
        stream: true,
      };
    }
    case 'service':
      return {call: call.index};
  }
}
