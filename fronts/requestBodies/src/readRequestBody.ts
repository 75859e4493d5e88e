import type {IncomingMessage} from 'node:http';

import type {Clock, Milliseconds} from '@gentianshunt/clock';
import {SMALL_BODY_BYTES} from '@gentianshunt/memoryAccount';
import type {ClaimDecision, ClaimKind} from '@gentianshunt/memoryAccount';
import {startTimer} from '@gentianshunt/runtime';

import {BLOCK_BYTES} from './blockPool.js';
import type {MemoryGate, Reservation} from './memoryGate.js';
import {recordReadBytes} from './recordReadBytes.js';
import {createBodyBuilder} from './requestBody.js';
import type {RequestBody} from './requestBody.js';

/** What is known of a request from its head. */
export interface ReadTerms {
  /** Rank of the tier; rank 1 is served first. */
  readonly rank: number;
  /** Time within which the request must be answered. */
  readonly timeLimitMs: Milliseconds;
}

/** Options for reading one body. */
export interface ReadOptions {
  readonly gate: MemoryGate;
  readonly clock: Clock;
  /** Largest body that is read, in bytes. */
  readonly maxBytes: number;
  /** Most bytes read of a refused body without keeping them. */
  readonly maxDroppedBytes?: number;
  readonly readTerms: () => ReadTerms;
}

/** A body, or the reason why it is not read. */
export type ReceivedBody =
  | {
      readonly kind: 'received';
      readonly body: RequestBody;
      /** Time since the head was read. */
      readonly ageMs: Milliseconds;
    }
  | {readonly kind: 'memoryFull'}
  | {readonly kind: 'tooLarge'}
  | {readonly kind: 'tooSlow'}
  /** It comes in far more chunks than its bytes need. */
  | {readonly kind: 'tooFragmented'};

type FailureKind = Exclude<ReceivedBody['kind'], 'received'>;

/** Longest time that an unread request waits for memory. */
const MAX_WAIT_MS: Milliseconds = 500;
/** Fraction of the time limit that a request may wait for memory. */
const MAX_WAIT_FRACTION = 0.15;
/**
 * Memory reserved for a body of unknown length once it is not small. Most bodies
 * need no more, so that few under way wait for each other.
 */
const GROWTH_BYTES = 4 * 1_024 * 1_024;
/** Interval at which incomplete bodies are checked. */
const CHECK_INTERVAL_MS: Milliseconds = 500;
/**
 * Checks in a row without a byte after which a body gives way to claims that
 * wait. Checks are counted, as a process that was stopped has read nothing.
 */
const MAX_SILENT_CHECKS = 4;
/** Bytes that frame a chunk of fewer than 16 bytes. */
const CHUNK_FRAMING_BYTES = 5;
/** Bytes of framing that a body may have beyond its own bytes. */
const MAX_EXCESS_FRAMING_BYTES = 64 * 1_024;
/** Longest time for which the rest of a refused body is read. */
const MAX_DROP_MS: Milliseconds = 5_000;

/**
 * Reads the body of a request once memory for it is reserved. Until then
 * nothing is read, so that TCP flow control slows down the sender. Nothing is
 * reported of a request whose caller disconnects.
 */
export function readRequestBody(
  raw: IncomingMessage,
  options: ReadOptions,
  onRead: (received: ReceivedBody) => void,
): void {
  const {gate, clock, maxBytes, maxDroppedBytes = maxBytes} = options;
  const declared = parseLength(raw);
  if (declared !== undefined && declared > maxBytes) {
    dropRest(raw, maxDroppedBytes);
    onRead({kind: 'tooLarge'});
    return;
  }
  const startedAt = clock.readMonotonic();
  const builder = createBodyBuilder();
  let pending: Reservation | undefined;
  let unread: Buffer | undefined;
  let isComplete = false;
  let ownBytes = 0;
  let silentChecks = 0;
  let chunks = 0;
  const stop = (): void => {
    clearInterval(checks);
    clearTimeout(limit);
    raw.off('data', receive);
    raw.off('end', finish);
    raw.off('close', leave);
    raw.socket?.off('close', abandon);
  };
  const abandon = (): void => {
    stop();
    pending?.release();
    builder.release();
  };
  /** A message closes by itself after its end, while its caller waits. */
  const leave = (): void => {
    if (!isComplete) {
      abandon();
    }
  };
  const fail = (kind: FailureKind): void => {
    abandon();
    dropRest(raw, maxDroppedBytes);
    onRead({kind});
  };
  const finish = (): void => {
    isComplete = true;
    if (unread !== undefined) {
      raw.socket?.once('close', abandon);
      return;
    }
    stop();
    const ageMs = clock.readMonotonic() - startedAt;
    onRead({kind: 'received', body: builder.build(), ageMs});
  };
  const reserve = (kind: ClaimKind, bytes: number, onGranted: () => void) => {
    let decided: ClaimDecision['kind'] | undefined;
    const accept = (decision: ClaimDecision['kind']): void => {
      if (decision === 'refused') {
        fail('memoryFull');
        return;
      }
      builder.addMemory(pending!, bytes);
      ownBytes += bytes;
      pending = undefined;
      silentChecks = 0;
      onGranted();
    };
    pending = gate.request({
      kind,
      bytes,
      ownBytes,
      readTerms: () => toWaitTerms(options.readTerms()),
      onDecided: decision => {
        // A decision at once comes before the reservation is returned.
        decided = decision;
        if (pending !== undefined) {
          accept(decision);
        }
      },
    });
    if (decided !== undefined) {
      accept(decided);
    }
  };
  const add = (chunk: Buffer): void => {
    if (chunk.length <= builder.freeBytes) {
      unread = undefined;
      builder.append(chunk);
      return;
    }
    unread = chunk;
    raw.pause();
    const missing = Math.max(chunk.length, maxBytes - builder.length);
    reserve('growth', Math.min(missing, GROWTH_BYTES), () => {
      add(chunk);
      raw.resume();
      if (isComplete) {
        finish();
      }
    });
  };
  const receive = (chunk: Buffer): void => {
    silentChecks = 0;
    recordReadBytes(chunk.length);
    chunks += 1;
    if (builder.length + chunk.length > maxBytes) {
      fail('tooLarge');
    } else if (declared === undefined && isFragmented(builder.length, chunks)) {
      fail('tooFragmented');
    } else {
      add(chunk);
    }
  };
  const checks = setInterval(() => {
    silentChecks = pending === undefined ? silentChecks + 1 : 0;
    if (silentChecks >= MAX_SILENT_CHECKS && gate.waitingClaims > 0) {
      fail('tooSlow');
    }
  }, CHECK_INTERVAL_MS);
  const limit = startTimer(
    () => fail('tooSlow'),
    options.readTerms().timeLimitMs,
  );
  raw.on('error', () => undefined);
  raw.on('close', leave);
  const bytes = declared ?? BLOCK_BYTES;
  reserve(bytes <= SMALL_BODY_BYTES ? 'small' : 'large', bytes, () => {
    raw.on('data', receive);
    raw.on('end', finish);
  });
}

function toWaitTerms({rank, timeLimitMs}: ReadTerms) {
  return {
    rank,
    maxWaitMs: Math.min(MAX_WAIT_MS, timeLimitMs * MAX_WAIT_FRACTION),
  };
}

function isFragmented(bytes: number, chunks: number): boolean {
  return chunks * CHUNK_FRAMING_BYTES > bytes + MAX_EXCESS_FRAMING_BYTES;
}

function parseLength({headers}: IncomingMessage): number | undefined {
  const text = headers['content-length'];
  return text === undefined ? undefined : Number(text);
}

/**
 * Reads the rest of a refused body without keeping it, so that the sender can
 * read the refusal. The connection is closed if the rest is too long or slow.
 */
function dropRest(raw: IncomingMessage, maxDroppedBytes: number): void {
  if (raw.readableEnded) {
    return;
  }
  let received = 0;
  const timer = setTimeout(() => raw.destroy(), MAX_DROP_MS);
  raw.on('data', (chunk: Buffer) => {
    received += chunk.length;
    recordReadBytes(chunk.length);
    if (received > maxDroppedBytes) {
      raw.destroy();
    }
  });
  raw.once('close', () => clearTimeout(timer));
  raw.resume();
}
