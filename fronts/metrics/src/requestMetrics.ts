/** Metrics of the requests that ended. */
import type {EntryEffect} from '@gentianshunt/entryModel';
import {Counter, Histogram} from 'prom-client';
import type {Registry} from 'prom-client';

/** A request that has ended. */
export type RecordEndEffect = Extract<
  EntryEffect,
  {readonly kind: 'recordEnd'}
>;

/** Bucket bounds of the time to the first token, in seconds. */
const FIRST_TOKEN_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 5, 10, 30];

/** Adds the metrics of requests; returns what counts one that has ended. */
export function addRequestMetrics(
  registry: Registry,
): (effect: RecordEndEffect) => void {
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
  return ({request, end, firstTokenMs}) => {
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
