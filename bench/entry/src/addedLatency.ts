import {setTimeout as delay} from 'node:timers/promises';

import {
  ENDPOINT_SET,
  formatOrganisationId,
  REQUEST_KIND,
  TIERS,
} from '@gentianshunt/virtualEntry';
import {build} from 'hdr-histogram-js';
import type {Histogram} from 'hdr-histogram-js';
import {Agent, request} from 'undici';

const MICROSECONDS_PER_MILLISECOND = 1_000;
const CONNECTIONS = 256;
const ANSWER_TOKENS = 2;

/** Options of the latency measurement. */
export interface AddedLatencyOptions {
  /** Base URL of the entry. */
  readonly entry: string;
  /** Base URL of the engine to which requests are sent directly. */
  readonly engine: string;
  readonly requestsPerSecond: number;
  readonly warmUpMs: number;
  readonly durationMs: number;
}

/** Latencies at the 50th, 90th and 99th percentile, in milliseconds. */
export interface Latency {
  readonly p50: number;
  readonly p90: number;
  readonly p99: number;
  readonly count: number;
  readonly failed: number;
}

/** Latencies of the same requests, sent to an engine and through an entry. */
export interface AddedLatency {
  readonly direct: Latency;
  readonly through: Latency;
}

interface Target {
  readonly url: string;
  readonly agent: Agent;
  readonly histogram: Histogram;
  failed: number;
}

/**
 * Sends each request twice, once to the engine and once through the entry, half
 * an interval apart. The load is open-loop: its rate does not depend on when
 * answers arrive.
 */
export async function measureAddedLatency(
  options: AddedLatencyOptions,
): Promise<AddedLatency> {
  const direct = createTarget(options.engine);
  const through = createTarget(options.entry);
  await sendPairs(options, direct, through, options.warmUpMs);
  for (const target of [direct, through]) {
    target.histogram.reset();
    target.failed = 0;
  }
  await sendPairs(options, direct, through, options.durationMs);
  await Promise.all([direct.agent.close(), through.agent.close()]);
  return {direct: toLatency(direct), through: toLatency(through)};
}

function createTarget(url: string): Target {
  return {
    url,
    agent: new Agent({connections: CONNECTIONS, pipelining: 1}),
    histogram: build({
      lowestDiscernibleValue: 1,
      highestTrackableValue: 60_000_000,
      numberOfSignificantValueDigits: 3,
    }),
    failed: 0,
  };
}

async function sendPairs(
  options: AddedLatencyOptions,
  direct: Target,
  through: Target,
  durationMs: number,
): Promise<void> {
  const intervalMs = 1_000 / options.requestsPerSecond;
  const total = Math.floor(durationMs / intervalMs);
  const startedAt = performance.now();
  const calls: Promise<void>[] = [];
  let sent = 0;
  while (sent < 2 * total) {
    const elapsedMs = performance.now() - startedAt;
    const due = Math.min(2 * total, Math.floor((2 * elapsedMs) / intervalMs));
    while (sent < due) {
      calls.push(sendCall(sent % 2 === 0 ? direct : through, sent >> 1));
      sent += 1;
    }
    await delay(1);
  }
  await Promise.all(calls);
}

async function sendCall(target: Target, index: number): Promise<void> {
  const startedAt = performance.now();
  const reply = await request(`${target.url}/v1/chat/completions`, {
    dispatcher: target.agent,
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      'x-organisation': formatOrganisationId(index % 2),
      'x-tier': TIERS[index % TIERS.length]!,
      'x-kind': REQUEST_KIND,
    },
    body: JSON.stringify({
      model: ENDPOINT_SET,
      messages: [{role: 'user', content: `question ${index}`}],
      max_tokens: ANSWER_TOKENS,
    }),
  });
  const text = await reply.body.text();
  if (reply.statusCode !== 200 || !text.endsWith('data: [DONE]\n\n')) {
    target.failed += 1;
    return;
  }
  const elapsedMs = performance.now() - startedAt;
  target.histogram.recordValue(
    Math.round(elapsedMs * MICROSECONDS_PER_MILLISECOND),
  );
}

function toLatency(target: Target): Latency {
  const {histogram, failed} = target;
  const read = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MILLISECOND;
  return {
    p50: read(50),
    p90: read(90),
    p99: read(99),
    count: histogram.totalCount,
    failed,
  };
}
