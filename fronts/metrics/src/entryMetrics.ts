import type {EntryDecision} from '@gentianshunt/entryModel';
import {collectDefaultMetrics, Counter, Histogram, Registry} from 'prom-client';

import {addConfigurationGauges} from './configurationGauges.js';
import type {ScrapedEntry} from './configurationGauges.js';
import {addControlGauges} from './controlGauges.js';
import type {ScrapedMember} from './controlGauges.js';
import {addHeartbeatCounters} from './heartbeatCounters.js';
import {addLoadGauges} from './loadGauges.js';
import type {LoadReaders} from './loadGauges.js';
import type {MetricsFormatter} from './metricsFormatter.js';
import {addRequestMetrics} from './requestMetrics.js';
import type {RecordEndEffect} from './requestMetrics.js';

/** Bucket bounds of the lag of the event loop, in seconds. */
const LOOP_LAG_BUCKETS_S = [0.005, 0.02, 0.1, 0.25, 0.5, 1, 2.5, 5];
/** Bucket bounds of the wait until a connection is accepted, in seconds. */
const ACCEPT_WAIT_BUCKETS_S = [0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2];
/** Bucket bounds of the age of a call when it is sent, in seconds. */
const CALL_AGE_BUCKETS_S = [0.01, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10];

/** Options of the metrics of an entry. */
export interface EntryMetricsOptions extends LoadReaders {
  readonly entry: ScrapedEntry;
  /** Reads the control member of the same process, if there is one. */
  readonly readMember?: () => ScrapedMember | undefined;
}

/** Metrics of an entry. */
export interface EntryMetrics extends MetricsFormatter {
  recordLoopLag(lagMs: number): void;
  /** Records how long a connection waited to be accepted. */
  recordAcceptWait(waitMs: number): void;
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
  const recordEnd = addRequestMetrics(registry);
  const loopLag = new Histogram({
    name: 'gentianshunt_loop_lag_seconds',
    help: 'How late the event loop ran, sampled at intervals.',
    buckets: LOOP_LAG_BUCKETS_S,
    registers: [registry],
  });
  const acceptWait = new Histogram({
    name: 'gentianshunt_accept_wait_seconds',
    help: "How long callers' connections wait to be accepted, by samples.",
    buckets: ACCEPT_WAIT_BUCKETS_S,
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
  addLoadGauges(registry, options);
  addConfigurationGauges(registry, options.entry);
  addHeartbeatCounters(registry, options.entry);
  if (options.readMember !== undefined) {
    addControlGauges(registry, options.readMember);
  }
  return {
    recordLoopLag: lagMs => loopLag.observe(lagMs / 1_000),
    recordAcceptWait: waitMs => acceptWait.observe(waitMs / 1_000),
    recordSentCall: ageMs => sentAge.observe(ageMs / 1_000),
    recordDecision: decision => {
      if (decision.kind === 'endpointLeaveLearnt') {
        const {source, openRequests} = decision;
        leaves.inc({source, in_use: String(openRequests > 0)});
      }
    },
    recordEnd,
    format: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
