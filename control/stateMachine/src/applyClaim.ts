import {iterateWhile} from '@gentianshunt/board';
import {formatClaimId} from '@gentianshunt/controlModel';
import type {
  ClaimId,
  ClaimRecord,
  RunningClaimKey,
} from '@gentianshunt/controlModel';
import type {ClaimOutcome, LogPayload} from '@gentianshunt/messages';
import type {IncarnationId} from '@gentianshunt/identifiers';

import type {StateDraft} from './stateDraft.js';

/**
 * Maximum number of claims in the state. It is above the limit at which the
 * leader refuses new claims, so that claims already in the log still fit.
 */
export const MAX_CLAIMS = 110_000;
/** Retention of a completed claim, in milliseconds. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1_000;
/** Retention of a claim with unknown outcome, in milliseconds. */
export const UNKNOWN_CLAIM_RETENTION_MS = 7 * CLAIM_RETENTION_MS;
/** Maximum size of one stored answer, in bytes. */
export const MAX_ANSWER_BYTES = 64 * 1024;
/** Maximum size of all stored answers together, in bytes. */
export const MAX_TOTAL_ANSWER_BYTES = 64 * 1024 * 1024;
/** Maximum number of claims that one log entry removes as expired. */
export const MAX_EXPIRIES_PER_LOG_ENTRY = 1_000;

type ClaimPayload = Extract<LogPayload, {readonly kind: 'claim'}>;
type SettleClaimPayload = Extract<LogPayload, {readonly kind: 'settleClaim'}>;
type LoseClaimsPayload = Extract<LogPayload, {readonly kind: 'loseClaims'}>;

/** Records a claim; the first claim on an idempotency key wins. */
export function applyClaim(draft: StateDraft, payload: ClaimPayload): void {
  const id = formatClaimId(payload.key);
  const isFull = draft.claimUsage.claims >= MAX_CLAIMS;
  if (isFull || draft.claims.get(id) !== undefined) {
    return;
  }
  const {digest, node, incarnation, request, atMs} = payload;
  putClaim(draft, id, {
    digest,
    node,
    incarnation,
    request,
    atMs,
    outcome: null,
    expiresAtMs: null,
  });
}

/**
 * Completes a claim with the outcome that its request reports. This may replace
 * an unknown outcome.
 */
export function applyClaimCompletion(
  draft: StateDraft,
  payload: SettleClaimPayload,
): void {
  const id = formatClaimId(payload.key);
  const claim = draft.claims.get(id);
  const canComplete =
    claim !== undefined &&
    claim.request === payload.request &&
    (claim.outcome === null || claim.outcome.kind === 'unknown');
  if (!canComplete) {
    return;
  }
  // A request that did not run may be claimed again.
  if (payload.outcome.kind === 'notRun') {
    removeClaim(draft, id);
    return;
  }
  completeClaim(draft, id, claim, payload.outcome, payload.atMs);
}

/**
 * Completes the claims that earlier incarnations of an entry left running, with
 * unknown outcome. The claims of incarnation `keep` stay.
 */
export function applyLoseClaims(
  draft: StateDraft,
  payload: LoseClaimsPayload,
): void {
  const from: RunningClaimKey = {
    node: payload.node,
    incarnation: '' as IncarnationId,
    claim: '' as ClaimId,
  };
  const running = iterateWhile(
    draft.runningClaims,
    from,
    key => key.node === payload.node,
  );
  for (const {key} of [...running]) {
    const claim = draft.claims.get(key.claim);
    if (claim !== undefined && key.incarnation !== payload.keep) {
      completeClaim(draft, key.claim, claim, {kind: 'unknown'}, payload.atMs);
    }
  }
}

/** Removes expired claims; running claims do not expire. */
export function applyClaimExpiry(draft: StateDraft, atMs: number): void {
  for (let count = 0; count < MAX_EXPIRIES_PER_LOG_ENTRY; count += 1) {
    const [first] = draft.claimExpiry.iterateFrom();
    if (first === undefined || first.key.expiresAtMs > atMs) {
      return;
    }
    removeClaim(draft, first.key.claim);
  }
}

function completeClaim(
  draft: StateDraft,
  id: ClaimId,
  claim: ClaimRecord,
  outcome: ClaimOutcome,
  atMs: number,
): void {
  removeClaim(draft, id);
  const retention =
    outcome.kind === 'unknown'
      ? UNKNOWN_CLAIM_RETENTION_MS
      : CLAIM_RETENTION_MS;
  putClaim(draft, id, {
    ...claim,
    outcome: dropLargeAnswer(draft, outcome),
    expiresAtMs: atMs + retention,
  });
}

/** Removes the body of an answer that exceeds the limits on stored answers. */
function dropLargeAnswer(
  draft: StateDraft,
  outcome: ClaimOutcome,
): ClaimOutcome {
  const answerBytes = readAnswerBytes(outcome);
  const fits =
    answerBytes <= MAX_ANSWER_BYTES &&
    draft.claimUsage.answerBytes + answerBytes <= MAX_TOTAL_ANSWER_BYTES;
  return outcome.kind === 'answered' && !fits
    ? {kind: 'answeredNotKept', status: outcome.status}
    : outcome;
}

function readAnswerBytes(outcome: ClaimOutcome | null): number {
  return outcome?.kind === 'answered' ? outcome.body.byteLength : 0;
}

function putClaim(draft: StateDraft, id: ClaimId, claim: ClaimRecord): void {
  draft.claims.put(id, claim);
  if (claim.outcome === null) {
    draft.runningClaims.put(toRunningKey(id, claim), true);
  }
  if (claim.expiresAtMs !== null) {
    const {expiresAtMs} = claim;
    draft.claimExpiry.put({expiresAtMs, claim: id}, true);
  }
  const {claims, answerBytes} = draft.claimUsage;
  draft.claimUsage = {
    claims: claims + 1,
    answerBytes: answerBytes + readAnswerBytes(claim.outcome),
  };
}

function removeClaim(draft: StateDraft, id: ClaimId): void {
  const claim = draft.claims.get(id)!;
  draft.claims.delete(id);
  if (claim.outcome === null) {
    draft.runningClaims.delete(toRunningKey(id, claim));
  }
  if (claim.expiresAtMs !== null) {
    const {expiresAtMs} = claim;
    draft.claimExpiry.delete({expiresAtMs, claim: id});
  }
  const {claims, answerBytes} = draft.claimUsage;
  draft.claimUsage = {
    claims: claims - 1,
    answerBytes: answerBytes - readAnswerBytes(claim.outcome),
  };
}

function toRunningKey(id: ClaimId, claim: ClaimRecord): RunningClaimKey {
  const {node, incarnation} = claim;
  return {node, incarnation, claim: id};
}
