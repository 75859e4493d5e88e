import {Encoder} from 'cbor-x';

import {FrameTooLargeError, MalformedFrameError} from './frameErrors.js';

/** Bytes of the length field before the content of each frame. */
export const FRAME_HEADER_BYTES = 4;
/** Longest accepted content of a frame, in bytes. */
export const MAX_FRAME_BYTES = 8 * 1024 * 1024;

const codec = new Encoder({
  useRecords: false,
  tagUint8Array: false,
  // A view would keep the whole frame or file in memory.
  copyBuffers: true,
});

/** Encodes a value without a frame header. */
export function encodeValue(value: unknown): Buffer {
  return codec.encode(value);
}

/** Decodes a value that was encoded without a frame header. */
export function decodeValue(bytes: Uint8Array): unknown {
  return codec.decode(bytes);
}

/** Encodes a value as one frame: its length, then its content. */
export function encodeFrame(value: unknown): Buffer {
  return buildFrame(codec.encode(value));
}

/** Builds a frame of a value that is encoded already. */
export function buildFrame(content: Buffer): Buffer {
  const frame = Buffer.allocUnsafe(FRAME_HEADER_BYTES + content.length);
  frame.writeUInt32BE(content.length, 0);
  content.copy(frame, FRAME_HEADER_BYTES);
  return frame;
}

/** Options of a frame reader. */
export interface FrameReaderOptions {
  /** Identifies the peer in errors. */
  readonly peer: string;
  readonly maxFrameBytes?: number;
}

/** Splits a byte stream into frames. */
export interface FrameReader {
  /** Adds received bytes; returns the values of all frames now complete. */
  read(chunk: Buffer): readonly unknown[];
}

/** Creates a reader that buffers at most one incomplete frame. */
export function createFrameReader(options: FrameReaderOptions): FrameReader {
  const limit = options.maxFrameBytes ?? MAX_FRAME_BYTES;
  let buffered: Buffer = Buffer.alloc(0);
  return {
    read: chunk => {
      buffered =
        buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
      const values: unknown[] = [];
      while (buffered.length >= FRAME_HEADER_BYTES) {
        const length = buffered.readUInt32BE(0);
        if (length > limit) {
          throw new FrameTooLargeError(options.peer, length, limit);
        }
        const end = FRAME_HEADER_BYTES + length;
        if (buffered.length < end) {
          break;
        }
        const content = buffered.subarray(FRAME_HEADER_BYTES, end);
        values.push(decodeFrame(content, options.peer));
        buffered = buffered.subarray(end);
      }
      return values;
    },
  };
}

/**
 * Decodes the content of a frame.
 * @throws {MalformedFrameError} if it is not a valid value
 */
export function decodeFrame(content: Buffer, peer: string): unknown {
  try {
    return codec.decode(content);
  } catch (error) {
    throw new MalformedFrameError(peer, error);
  }
}
