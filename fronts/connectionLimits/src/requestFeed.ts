import type {IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock, Milliseconds} from '@gentianshunt/clock';

import type {TurnQueue} from './turnQueue.js';

/** Hands the bytes of a connection to the parser of its server in pieces. */
export interface RequestFeed {
  /** Notes a request that the parser has found in the latest piece. */
  recordRequest(request: IncomingMessage): void;
  /** Goes on after a pause. */
  resume(): void;
}

/** Options of a feed. */
export interface RequestFeedOptions {
  readonly socket: Socket;
  readonly clock: Clock;
  /** Where the connection waits to be parsed further. */
  readonly turns: TurnQueue;
  /** Returns whether the next request must not be parsed yet. */
  readonly isBusy: () => boolean;
  /**
   * Called when bytes arrive that are not parsed yet; returns whether the
   * connection may hold them.
   */
  readonly onHeld: () => boolean;
}

/**
 * Bytes that are parsed at once where a request may begin. The parser creates
 * all requests that these contain, some kilobytes each, so that a whole read of
 * short requests would take some megabytes.
 */
const HEAD_PIECE_BYTES = 256;
/** The same within a body whose length is not known. */
const CHUNKED_PIECE_BYTES = 1_024;

/**
 * Time of a turn in which one connection may parse a body whose length is not known.
 * It may consist of any number of chunks.
 */
const CONNECTION_SHARE_MS: Milliseconds = 1;

/**
 * Puts itself between a connection and the parser, which otherwise reads the
 * socket by itself and creates requests as fast as they arrive.
 */
export function createRequestFeed({
  socket,
  clock,
  turns,
  isBusy,
  onHeld,
}: RequestFeedOptions): RequestFeed {
  const [parse] = socket.listeners('data') as ((piece: Buffer) => void)[];
  let unparsed: Buffer | undefined;
  /** Bytes that belong to a body for certain. */
  let bodyBytes = 0;
  /** The request whose body has no known length. */
  let chunked: IncomingMessage | undefined;
  /** Whether the connection waits for its next share of a turn. */
  let isWaiting = false;
  const takePiece = (bytes: Buffer): Buffer => {
    const size = chunked === undefined ? HEAD_PIECE_BYTES : CHUNKED_PIECE_BYTES;
    const piece = bytes.subarray(0, Math.max(size, bodyBytes));
    bodyBytes = Math.max(0, bodyBytes - piece.length);
    unparsed =
      piece.length < bytes.length ? bytes.subarray(piece.length) : undefined;
    return piece;
  };
  /** What is received of a body takes far more memory than its bytes. */
  const isUnread = (): boolean =>
    chunked !== undefined && !chunked.complete && chunked.readableLength > 0;
  const feed = (): void => {
    if (isWaiting) {
      socket.pause();
      return;
    }
    const until = clock.readMonotonic() + CONNECTION_SHARE_MS;
    while (unparsed !== undefined && !socket.destroyed && !socket.isPaused()) {
      if (isBusy()) {
        hold();
      } else if (isUnread()) {
        // The reader of the body resumes the socket.
        socket.pause();
      } else if (chunked !== undefined && clock.readMonotonic() >= until) {
        awaitTurn();
      } else {
        parse!(takePiece(unparsed));
      }
    }
  };
  const awaitTurn = (): void => {
    isWaiting = true;
    socket.pause();
    turns.add(() => {
      isWaiting = false;
      socket.resume();
    });
  };
  const hold = (): void => {
    if (onHeld()) {
      socket.pause();
    } else {
      unparsed = undefined;
      socket.destroy();
    }
  };
  socket.removeListener('data', parse!);
  socket.on('data', (chunk: Buffer) => {
    unparsed =
      unparsed === undefined ? chunk : Buffer.concat([unparsed, chunk]);
    feed();
  });
  // The parser resumes the socket after each request that it has parsed.
  socket.on('resume', feed);
  return {
    recordRequest: request => {
      const {headers} = request;
      const length = Number(headers['content-length'] ?? 0);
      // The piece that ends the head may hold the first bytes of the body.
      bodyBytes = Math.max(0, length - CHUNKED_PIECE_BYTES);
      chunked =
        headers['transfer-encoding'] === undefined ? undefined : request;
    },
    resume: () => {
      if (unparsed !== undefined) {
        socket.resume();
      }
    },
  };
}
