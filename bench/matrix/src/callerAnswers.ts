// What a simulated entry answers its callers without an endpoint.
import type {EntryEffect} from '@gentianshunt/entryModel';

import type {EntryHostOptions, HostState} from './entryHostState.js';

/** Refuses a call and records the refusal. */
export function refuseCaller(
  {process, clock, record}: EntryHostOptions,
  state: HostState,
  {refusal}: Extract<EntryEffect, {readonly kind: 'refuseCaller'}>,
): void {
  const {request, notRun} = refusal;
  record({
    at: clock.readMonotonic(),
    kind: 'refused',
    entry: process.id,
    request,
    reason: refusal.reason.kind,
    notRun,
  });
  const attempt = state.attempts.get(request);
  state.attempts.delete(request);
  attempt?.refuse(refusal);
}

/** Answers a call with a stored outcome. */
export function sendStoredAnswer(
  state: HostState,
  effect: Extract<EntryEffect, {readonly kind: 'repeatAnswer'}>,
): void {
  const attempt = state.attempts.get(effect.request);
  state.attempts.delete(effect.request);
  if (effect.outcome.kind === 'answered') {
    attempt?.finish(Buffer.from(effect.outcome.body).toString());
  } else {
    attempt?.fail();
  }
}
