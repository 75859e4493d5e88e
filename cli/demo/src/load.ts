import {setTimeout as delay} from 'node:timers/promises';

import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {request} from 'undici';

/** What a load needs. */
export interface LoadOptions {
  /** The entry that is asked for addresses. */
  readonly entry: string;
  readonly requests: number;
  readonly seed: number;
}

/** How one request ended for its caller. */
export type CallEnd = 'answered' | 'cancelled' | 'refused' | 'failed';

/** One request as its caller saw it. */
export interface CallResult {
  readonly tier: string;
  readonly kind: string;
  readonly weight: number;
  readonly end: CallEnd;
}

/** One request to be made. */
interface PlannedCall {
  readonly tier: string;
  readonly organisation: string;
  readonly kind: 'draft' | 'summary' | 'issue-number';
  readonly weight: number;
  readonly promptWords: number;
  readonly maxTokens: number;
  /** When the caller hangs up, in milliseconds; `null` when it stays. */
  readonly patienceMs: number | null;
  readonly startMs: number;
  readonly index: number;
}

const TIERS = ['gold', 'silver', 'bronze'] as const;
const LOAD_DURATION_MS = 6_000;
const CANCEL_PERCENT = 75;
const SERVICE_PERCENT = 10;

/** Makes the planned requests, over half of them cancelled. */
export async function runLoad(
  options: LoadOptions,
): Promise<readonly CallResult[]> {
  const addresses = await readAddresses(options.entry);
  const calls = planCalls(options);
  return Promise.all(
    calls.map(async call => {
      await delay(call.startMs);
      const url = addresses[call.index % addresses.length]!;
      return makeCall(url, call);
    }),
  );
}

async function readAddresses(entry: string): Promise<readonly string[]> {
  const reply = await request(`${entry}/v1/addresses?affinity=demo`);
  const body = (await reply.body.json()) as {
    readonly addresses: readonly {readonly url: string}[];
  };
  return body.addresses.map(address => address.url);
}

function planCalls(options: LoadOptions): readonly PlannedCall[] {
  const generator = xoroshiro128plus(options.seed);
  const draw = (from: number, to: number): number =>
    uniformInt(generator, from, to);
  return Array.from({length: options.requests}, (_, index) => {
    const isService = draw(1, 100) <= SERVICE_PERCENT;
    const isCancelled = !isService && draw(1, 100) <= CANCEL_PERCENT;
    const isDraft = draw(0, 1) === 0;
    const kind = isService ? 'issue-number' : isDraft ? 'draft' : 'summary';
    return {
      tier: TIERS[draw(0, 2)]!,
      organisation: draw(0, 3) === 0 ? 'south-lab' : 'north-lab',
      kind,
      weight: isService ? 3 : isDraft ? 2 : 1,
      promptWords: draw(5, isDraft ? 200 : 2_000),
      maxTokens: draw(5, 80),
      patienceMs: isCancelled ? draw(5, 200) : null,
      startMs: draw(0, LOAD_DURATION_MS),
      index,
    };
  });
}

async function makeCall(url: string, call: PlannedCall): Promise<CallResult> {
  const {tier, kind, weight} = call;
  const end = await sendCall(url, call);
  return {tier, kind, weight, end};
}

async function sendCall(url: string, call: PlannedCall): Promise<CallEnd> {
  const controller = new AbortController();
  const timer =
    call.patienceMs === null
      ? undefined
      : setTimeout(() => controller.abort(), call.patienceMs);
  try {
    const reply = await request(`${url}${readPath(call)}`, {
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        'x-organisation': call.organisation,
        'x-tier': call.tier,
        'x-kind': call.kind,
        'idempotency-key': `demo-${call.index}`,
      },
      body: JSON.stringify(createBody(call)),
      signal: controller.signal,
    });
    const text = await reply.body.text();
    if (reply.statusCode !== 200) {
      return 'refused';
    }
    const isWhole =
      call.kind === 'issue-number' || text.endsWith('data: [DONE]\n\n');
    return isWhole ? 'answered' : 'failed';
  } catch {
    return controller.signal.aborted ? 'cancelled' : 'failed';
  } finally {
    clearTimeout(timer);
  }
}

function readPath(call: PlannedCall): string {
  return call.kind === 'issue-number'
    ? '/v1/services/registry/numbers'
    : '/v1/chat/completions';
}

function createBody(call: PlannedCall): unknown {
  return call.kind === 'issue-number'
    ? {certificate: call.index}
    : {
        model: 'drafts',
        messages: [{role: 'user', content: 'word '.repeat(call.promptWords)}],
        max_tokens: call.maxTokens,
        stream: true,
      };
}
