import type {EntryDecision, EntryEffect} from '@gentianshunt/entryModel';
import {
  collectDefaultMetrics,
  Counter,
  Gauge,
  Histogram,
  Registry,
} from 'prom-client';

import {addConfigurationGauges} from './configurationGauges.js';
import type {ScrapedEntry} from './configurationGauges.js';
import {addControlGauges} from './controlGauges.js';
import type {ScrapedMember} from './controlGauges.js';
import {addHeartbeatCounters} from './heartbeatCounters.js';
import type {MetricsFormatter} from './metricsFormatter.js';

type RecordEndEffect = Extract<EntryEffect, {readonly kind: 'recordEnd'}>;

/** Bucket bounds of the time to the first token, in seconds. */
const FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 10, 30];

/** Bucket bounds of the lag of the event loop, in seconds. */
const LOOP_LAG_BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2.5, 5];
/** Bucket bounds of the age of a call when it is sent, in seconds. */
const CALL_AGE_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Options of the metrics of an entry. */
export interface EntryMetricsOptions {
  readonly entry: ScrapedEntry;
  /** Reads the control member of the same process, if there is one. */
  readonly readMember?: () => ScrapedMember | undefined;
  /** Reads the bytes that wait to be sent to other daemons. */
  readonly readQueuedBytes: () => number;
  /** Reads the bytes held for others, by what they belong to. */
  readonly readBufferedBytes: () => Readonly<Record<string, number>>;
  /** Reads the numbers of observations so far, by kind. */
  readonly readObservations: () => ReadonlyMap<string, number>;
}

/** Metrics of an entry. */
export interface EntryMetrics extends MetricsFormatter {
  recordLoopLag(lagMs: number): void;
  /** Records the age of a call whose first byte leaves for an endpoint. */
  recordSentCall(ageMs: number): void;
  /** Counts a decision, if there is a metric of its kind. */
  recordDecision(decision: EntryDecision): void;
  /** Counts a request that has ended. */
  recordEnd(effect: RecordEndEffect): void;
}

/** Creates the metrics of an entry, with the default ones of the process. */
export function createEntryMetrics(options: EntryMetricsOptions): EntryMetrics {
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  const ended = new Counter({
    name: 'gentianshunt_requests_ended_total',
    help: 'Requests that ended, by tier, organisation and how they ended.',
    labelNames: ['tier', 'organisation', 'end'],
    registers: [registry],
  });
  const goodput = new Counter({
    name: 'gentianshunt_goodput_weight_total',
    help: 'Answered requests, weighted by kind, by tier.',
    labelNames: ['tier'],
    registers: [registry],
  });
  const wasted = new Counter({
    name: 'gentianshunt_wasted_prefill_tokens_total',
    help: 'Prompt tokens processed for requests that were not delivered.',
    labelNames: ['tier'],
    registers: [registry],
  });
  const firstToken = new Histogram({
    name: 'gentianshunt_first_token_seconds',
    help: 'Time from arrival to the first token, by tier.',
    labelNames: ['tier'],
    buckets: FIRST_TOKEN_BUCKETS_S,
    registers: [registry],
  });
  const loopLag = new Histogram({
    name: 'gentianshunt_loop_lag_seconds',
    help: 'How late the event loop ran, sampled at intervals.',
    buckets: LOOP_LAG_BUCKETS_S,
    registers: [registry],
  });
  const sentAge = new Histogram({
    name: 'gentianshunt_sent_call_age_seconds',
    help: 'Age of a call when its first byte leaves for an endpoint.',
    buckets: CALL_AGE_BUCKETS_S,
    registers: [registry],
  });
  const leaves = new Counter({
    name: 'gentianshunt_leaves_learnt_total',
    help: 'Endpoints learnt to have left, by source and whether requests of this entry were there.',
    labelNames: ['source', 'in_use'],
    registers: [registry],
  });
  const queuedBytes: Gauge = new Gauge({
    name: 'gentianshunt_link_queued_bytes',
    help: 'Bytes that wait to be sent to other daemons.',
    registers: [registry],
    collect: () => queuedBytes.set(options.readQueuedBytes()),
  });
  const bufferedBytes: Gauge = new Gauge({
    name: 'gentianshunt_buffered_bytes',
    help: 'Bytes held for callers and other daemons, by what they belong to.',
    labelNames: ['owner'],
    registers: [registry],
    collect: () =>
      Object.entries(options.readBufferedBytes()).forEach(([owner, bytes]) =>
        bufferedBytes.set({owner}, bytes),
      ),
  });
  const observations: Gauge = new Gauge({
    name: 'gentianshunt_observations',
    help: 'Observations handled since the start, by kind.',
    labelNames: ['kind'],
    registers: [registry],
    collect: () =>
      options
        .readObservations()
        .forEach((count, kind) => observations.set({kind}, count)),
  });
  addConfigurationGauges(registry, options.entry);
  addHeartbeatCounters(registry, options.entry);
  if (options.readMember !== undefined) {
    addControlGauges(registry, options.readMember);
  }
  return {
    recordLoopLag: lagMs => loopLag.observe(lagMs / 1_000),
    recordSentCall: ageMs => sentAge.observe(ageMs / 1_000),
    recordDecision: decision => {
      if (decision.kind === 'endpointLeaveLearnt') {
        const {source, openRequests} = decision;
        leaves.inc({source, in_use: String(openRequests > 0)});
      }
    },
    recordEnd: ({request, end, firstTokenMs}) => {
      const {tier, organisation} = request;
      ended.inc({tier, organisation, end: end.kind});
      if (end.kind === 'answered') {
        goodput.inc({tier}, request.value);
      }
      if (isPrefillWasted(end)) {
        wasted.inc({tier}, request.promptTokens);
      }
      if (firstTokenMs !== null) {
        firstToken.observe({tier}, firstTokenMs / 1_000);
      }
    },
    format: () => registry.metrics(),
    contentType: registry.contentType,
  };
}

/** Returns whether the prompt was processed for an answer never delivered. */
function isPrefillWasted(end: RecordEndEffect['end']): boolean {
  switch (end.kind) {
    case 'abandonedRunning':
      return end.prefilled;
    case 'refused':
      return !end.refusal.notRun;
    case 'answered':
    case 'abandonedWaiting':
    case 'repeated':
      return false;
  }
}
