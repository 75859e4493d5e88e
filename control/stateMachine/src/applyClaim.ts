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

/** Most claims kept, those on their way through the log included. */
export const MAX_CLAIMS = 110_000;
/** How long a settled claim is kept, in milliseconds. */
export const CLAIM_RETENTION_MS = 24 * 60 * 60 * 1_000;
/** How long a claim with unknown outcome is kept, in milliseconds. */
export const UNKNOWN_CLAIM_RETENTION_MS = 7 * CLAIM_RETENTION_MS;
/** Most bytes of one kept answer. */
export const MAX_ANSWER_BYTES = 64 * 1024;
/** Most bytes of all kept answers. */
export const MAX_TOTAL_ANSWER_BYTES = 64 * 1024 * 1024;
/** Most claims forgotten by one log entry. */
export const MAX_EXPIRIES_PER_ENTRY = 1_000;

type ClaimPayload = Extract<LogPayload, {readonly kind: 'claim'}>;
type SettlePayload = Extract<LogPayload, {readonly kind: 'settleClaim'}>;
type LosePayload = Extract<LogPayload, {readonly kind: 'loseClaims'}>;

/** The first claim on a key wins. */
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

/** Takes the outcome that the holder of a claim reports. */
export function applySettlement(
  draft: StateDraft,
  payload: SettlePayload,
): void {
  const id = formatClaimId(payload.key);
  const claim = draft.claims.get(id);
  const isOpen =
    claim !== undefined &&
    claim.request === payload.request &&
    (claim.outcome === null || claim.outcome.kind === 'unknown');
  if (!isOpen) {
    return;
  }
  // What was not run may be claimed again.
  if (payload.outcome.kind === 'notRun') {
    dropClaim(draft, id);
    return;
  }
  settle(draft, id, claim, payload.outcome, payload.atMs);
}

/** Ends what earlier incarnations of an entry left running. */
export function applyLoss(draft: StateDraft, payload: LosePayload): void {
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
      settle(draft, key.claim, claim, {kind: 'unknown'}, payload.atMs);
    }
  }
}

/** Forgets settled claims whose time has come; running ones have none. */
export function applyExpiry(draft: StateDraft, atMs: number): void {
  for (let count = 0; count < MAX_EXPIRIES_PER_ENTRY; count += 1) {
    const [first] = draft.claimExpiry.iterateFrom();
    if (first === undefined || first.key.expiresAtMs > atMs) {
      return;
    }
    dropClaim(draft, first.key.claim);
  }
}

function settle(
  draft: StateDraft,
  id: ClaimId,
  claim: ClaimRecord,
  outcome: ClaimOutcome,
  atMs: number,
): void {
  dropClaim(draft, id);
  const retention =
    outcome.kind === 'unknown'
      ? UNKNOWN_CLAIM_RETENTION_MS
      : CLAIM_RETENTION_MS;
  putClaim(draft, id, {
    ...claim,
    outcome: boundOutcome(draft, outcome),
    expiresAtMs: atMs + retention,
  });
}

/** Keeps an answer only within the bounds on their size. */
function boundOutcome(draft: StateDraft, outcome: ClaimOutcome): ClaimOutcome {
  const bytes = readAnswerBytes(outcome);
  const fits =
    bytes <= MAX_ANSWER_BYTES &&
    draft.claimUsage.answerBytes + bytes <= MAX_TOTAL_ANSWER_BYTES;
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

function dropClaim(draft: StateDraft, id: ClaimId): void {
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
