import {createHash} from 'node:crypto';

import {SchedulerError} from '@gentianshunt/errors';
import {SMALL_BODY_BYTES} from '@gentianshunt/memoryAccount';

import {BLOCK_BYTES, releaseBlock, takeBlock} from './blockPool.js';
import type {Reservation} from './memoryGate.js';

/** The body of a request, kept until the request has ended. */
export interface RequestBody {
  readonly length: number;
  /** Copies the body into one buffer. */
  toBuffer(): Buffer;
  /** Moves the body into one buffer; its memory stays reserved. */
  takeBuffer(): Buffer;
  /**
   * Returns the body in the form in which an HTTP client sends it: `null` if it
   * is empty. A large one is sent block by block, so that its memory can be
   * used again once it is released; sending fails from then on.
   */
  toPayload(): Buffer | Iterable<Buffer> | null;
  /** Returns the SHA-256 digest of the body, computed as it arrived. */
  digest(): Buffer;
  /** Gives the memory back. */
  release(): void;
}

/** Thrown when a body is sent after its request has ended. */
export class BodyReleasedError extends SchedulerError {
  constructor() {
    super({
      code: 'ERR_BODY_RELEASED',
      message: 'the request has ended while its body was sent',
      origin: {step: 'sendBody', peer: 'endpoint'},
      hint: 'none: the connection to the endpoint is closed',
    });
  }
}

/** Collects the bytes of a body. */
export interface BodyBuilder {
  readonly length: number;
  /** Bytes that can be added before more memory must be reserved. */
  readonly freeBytes: number;
  /** Takes over reserved memory for a number of bytes. */
  addMemory(reservation: Reservation, bytes: number): void;
  /** Adds bytes for which memory is reserved. */
  append(chunk: Buffer): void;
  build(): RequestBody;
  /** Gives all memory back. */
  release(): void;
}

/** How many connections write a block at present. */
type InFlight = Map<Buffer, number>;

/** Creates a builder without memory. */
export function createBodyBuilder(): BodyBuilder {
  const reservations: {reservation: Reservation; bytes: number}[] = [];
  const blocks: Buffer[] = [];
  const inFlight: InFlight = new Map();
  const hash = createHash('sha256');
  let whole: Buffer | undefined;
  let isReleased = false;
  let length = 0;
  let reservedBytes = 0;
  /** Gives back the memory that a body of unknown length did not need. */
  const shrinkTo = (bytes: number): void => {
    const last = reservations[reservations.length - 1];
    last?.reservation.shrink(bytes - (reservedBytes - last.bytes));
  };
  const release = (): void => {
    isReleased = true;
    // What a connection still writes must not become part of another body.
    blocks
      .splice(0)
      .filter(block => (inFlight.get(block) ?? 0) === 0)
      .forEach(releaseBlock);
    whole = undefined;
    reservations.splice(0).forEach(({reservation}) => reservation.release());
  };
  const appendToBlocks = (chunk: Buffer): void => {
    let rest = chunk;
    while (rest.length > 0) {
      const used = length % BLOCK_BYTES;
      if (used === 0) {
        blocks.push(takeBlock());
      }
      const copied = rest.copy(blocks[blocks.length - 1]!, used);
      length += copied;
      rest = rest.subarray(copied);
    }
  };
  return {
    get length() {
      return length;
    },
    get freeBytes() {
      return reservedBytes - length;
    },
    addMemory: (reservation, bytes) => {
      reservations.push({reservation, bytes});
      reservedBytes += bytes;
    },
    append: chunk => {
      hash.update(chunk);
      const isWhole = length === 0 && chunk.length === reservedBytes;
      if (isWhole && chunk.length <= SMALL_BODY_BYTES) {
        whole = chunk;
        length = chunk.length;
      } else {
        appendToBlocks(chunk);
      }
    },
    build: () => {
      shrinkTo(length);
      const digest = hash.digest();
      if (whole === undefined && length <= SMALL_BODY_BYTES) {
        whole = mergeBlocks(blocks, length);
        blocks.splice(0).forEach(releaseBlock);
      }
      return {
        length,
        toBuffer: () => whole ?? mergeBlocks(blocks, length),
        takeBuffer: () => {
          whole ??= mergeBlocks(blocks, length);
          blocks.splice(0).forEach(releaseBlock);
          return whole;
        },
        toPayload: () => {
          if (isReleased) {
            throw new BodyReleasedError();
          }
          if (length === 0) {
            return null;
          }
          return whole ?? iterateBlocks(blocks, inFlight, length);
        },
        digest: () => digest,
        release,
      };
    },
    release,
  };
}

function mergeBlocks(blocks: readonly Buffer[], length: number): Buffer {
  return Buffer.concat(blocks, length);
}

/**
 * Yields the blocks one at a time, as long as they are kept. A client asks for
 * the next one when the connection has written the last one; until then it is
 * in flight.
 */
function* iterateBlocks(
  blocks: readonly Buffer[],
  inFlight: InFlight,
  length: number,
): Iterable<Buffer> {
  for (let start = 0; start < length; start += BLOCK_BYTES) {
    const block = blocks[start / BLOCK_BYTES];
    if (block === undefined) {
      throw new BodyReleasedError();
    }
    if (length - start < BLOCK_BYTES) {
      // A client does not wait until a short piece is written.
      yield Buffer.from(block.subarray(0, length - start));
      return;
    }
    inFlight.set(block, (inFlight.get(block) ?? 0) + 1);
    yield block;
    inFlight.set(block, inFlight.get(block)! - 1);
  }
}

/** Creates the body of a request without one. */
export function createEmptyBody(): RequestBody {
  return createBodyBuilder().build();
}
