import type {IncomingMessage, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

import type {Clock, MonotonicTime} from '@gentianshunt/clock';
import {assertNever} from '@gentianshunt/errors';
import {
  decideArrival,
  estimateRequestBytes,
  PAUSED_CONNECTION_BYTES,
} from '@gentianshunt/memoryAccount';

import {createRequestFeed} from './requestFeed.js';
import type {TurnQueue} from './turnQueue.js';

/** A request as the server of the runtime hands it over. */
export interface ReceivedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}

/** Counts what connections hold of requests that were sent ahead. */
export interface AheadAccount {
  readonly heldBytes: number;
  readonly maxBytes: number;
  add(bytes: number): void;
}

/** What the connections of a process share. */
export interface ConnectionContext {
  readonly account: AheadAccount;
  readonly clock: Clock;
  readonly turns: TurnQueue;
  readonly serve: (received: ReceivedRequest) => void;
  /** Called when a connection is closed because of a limit. */
  readonly onClosed: () => void;
}

/** The requests of one connection. */
export interface LimitedConnection {
  /** Since when it has no request; `null` while it has one. */
  readonly idleSince: MonotonicTime | null;
  receive(received: ReceivedRequest): void;
  /** Closes the connection if its client has stopped reading an answer. */
  checkReading(): void;
}

/**
 * Longest time in which the client of an answer may take none of its bytes, in
 * milliseconds. The network delivers some within it on any link that works.
 */
const MAX_UNREAD_MS = 20_000;
/** Bytes of the separators of a header's name or value. */
const SEPARATOR_BYTES = 2;

/**
 * Serves the requests of a connection one after the other, as their answers are
 * sent in this order anyway. What is sent meanwhile is not parsed, and the socket
 * is not read further, so that TCP flow control slows the client down.
 */
export function limitConnection(
  socket: Socket,
  {account, clock, turns, serve, onClosed}: ConnectionContext,
): LimitedConnection {
  const waiting: ReceivedRequest[] = [];
  let current: ReceivedRequest | undefined;
  /** Bytes counted for the waiting requests, and for unparsed bytes. */
  let waitingBytes = 0;
  let unparsedBytes = 0;
  let isTimed = false;
  let idleSince: MonotonicTime | null = clock.readMonotonic();
  const setWaiting = (bytes: number): void => {
    account.add(bytes - waitingBytes);
    waitingBytes = bytes;
  };
  const setUnparsed = (bytes: number): void => {
    account.add(bytes - unparsedBytes);
    unparsedBytes = bytes;
  };
  const decide = (bytes: number) =>
    decideArrival({
      isServing: current !== undefined,
      heldBytes: account.heldBytes + bytes,
      maxBytes: account.maxBytes,
    });
  const feed = createRequestFeed({
    socket,
    clock,
    turns,
    isBusy: () =>
      waiting.length > 0 || (current !== undefined && isReceived(current)),
    onHeld: () => {
      // The connection may hold them already, from an earlier pause.
      const added = PAUSED_CONNECTION_BYTES - unparsedBytes;
      const isHeld = decide(added).kind !== 'close';
      if (isHeld) {
        setUnparsed(PAUSED_CONNECTION_BYTES);
      } else {
        onClosed();
      }
      return isHeld;
    },
  });
  const begin = (received: ReceivedRequest): void => {
    current = received;
    idleSince = null;
    received.response.once('close', beginNext);
    serve(received);
  };
  const beginNext = (): void => {
    current = undefined;
    if (socket.destroyed) {
      return;
    }
    setReadTimer(false);
    const next = waiting.shift();
    if (next !== undefined) {
      setWaiting(waitingBytes - measureRequest(next.request));
      begin(next);
      return;
    }
    idleSince = clock.readMonotonic();
    setUnparsed(0);
    feed.resume();
  };
  const setReadTimer = (isWanted: boolean): void => {
    if (isTimed !== isWanted) {
      isTimed = isWanted;
      // The server destroys a socket at its timeout, which restarts with each
      // byte that the client takes.
      socket.setTimeout(isWanted ? MAX_UNREAD_MS : 0);
    }
  };
  socket.once('close', () => {
    setWaiting(0);
    setUnparsed(0);
  });
  return {
    get idleSince() {
      return idleSince;
    },
    receive: received => {
      feed.recordRequest(received.request);
      const bytes = measureRequest(received.request);
      const decision = decide(bytes);
      switch (decision.kind) {
        case 'begin':
          begin(received);
          return;
        case 'wait':
          waiting.push(received);
          setWaiting(waitingBytes + bytes);
          return;
        case 'close':
          onClosed();
          socket.destroy();
          return;
        default:
          assertNever(decision, 'receive');
      }
    },
    checkReading: () => setReadTimer(socket.writableLength > 0),
  };
}

/** Returns whether a request has been received with its whole body. */
function isReceived({request}: ReceivedRequest): boolean {
  return request.complete;
}

/** Measures what a request takes that waits, in bytes. */
function measureRequest({url, rawHeaders}: IncomingMessage): number {
  const headBytes = rawHeaders.reduce(
    (sum, text) => sum + text.length + SEPARATOR_BYTES,
    url?.length ?? 0,
  );
  return estimateRequestBytes(headBytes);
}
