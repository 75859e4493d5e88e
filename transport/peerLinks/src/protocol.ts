import {isIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

/** Version of the protocol between daemons. */
export const PROTOCOL_VERSION = 2;

/** A frame that is sent over a link. */
export type PeerFrame =
  | {
      readonly kind: 'hello';
      readonly protocol: number;
      readonly node: NodeId;
    }
  | {readonly kind: 'message'; readonly body: unknown}
  | {readonly kind: 'ping'};

/** Validates a decoded frame; returns `undefined` if it is invalid. */
export function parsePeerFrame(value: unknown): PeerFrame | undefined {
  if (typeof value !== 'object' || value === null || !('kind' in value)) {
    return undefined;
  }
  const frame = value as Readonly<Record<string, unknown>>;
  switch (frame['kind']) {
    case 'hello':
      return typeof frame['protocol'] === 'number' &&
        typeof frame['node'] === 'string' &&
        isIdentifier(frame['node'])
        ? (value as PeerFrame)
        : undefined;
    case 'message':
      return 'body' in value ? (value as PeerFrame) : undefined;
    case 'ping':
      return {kind: 'ping'};
    default:
      return undefined;
  }
}

/** Reads the kind of a message; returns an empty string if it has none. */
export function readMessageKind(body: unknown): string {
  return typeof body === 'object' && body !== null && 'kind' in body
    ? String(body.kind)
    : '';
}
