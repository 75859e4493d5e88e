import type {IncomingMessage} from 'node:http';

/** Returns whether a caller has closed its connection. */
export function hasDisconnected({socket}: IncomingMessage): boolean {
  return socket.destroyed || socket.readableEnded;
}
