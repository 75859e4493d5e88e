import {isIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';

/** Newest version of the protocol between daemons. */
export const PROTOCOL_VERSION = 3;
/**
 * Oldest version of the protocol that is spoken. Every hello names it first, as
 * a peer of that version refuses any other.
 */
export const MIN_PROTOCOL_VERSION = 2;
/** First version of the protocol with fragments. */
export const FRAGMENT_PROTOCOL_VERSION = 3;

/** A part of a large message. */
export interface Fragment {
  readonly kind: 'fragment';
  /** Number of the message among those that the sender divided. */
  readonly message: number;
  /** Bytes of the whole message. */
  readonly messageBytes: number;
  readonly bytes: Uint8Array;
}

/** A frame that is sent over a link. */
export type PeerFrame =
  | {
      readonly kind: 'hello';
      readonly protocol: number;
      /** Newest version that the sender speaks; `protocol` if absent. */
      readonly newestProtocol?: number;
      readonly node: NodeId;
    }
  | {readonly kind: 'message'; readonly body: unknown}
  | Fragment
  /** Confirms that a fragment was received. */
  | {readonly kind: 'fragmentReceived'}
  | {readonly kind: 'ping'};

/** Validates a decoded frame; returns `undefined` if it is invalid. */
export function parsePeerFrame(value: unknown): PeerFrame | undefined {
  if (typeof value !== 'object' || value === null || !('kind' in value)) {
    return undefined;
  }
  const frame = value as Readonly<Record<string, unknown>>;
  switch (frame['kind']) {
    case 'hello':
      return isHello(frame) ? (value as PeerFrame) : undefined;
    case 'message':
      return 'body' in value ? (value as PeerFrame) : undefined;
    case 'fragment':
      return isFragment(frame) ? (value as PeerFrame) : undefined;
    case 'fragmentReceived':
      return {kind: 'fragmentReceived'};
    case 'ping':
      return {kind: 'ping'};
    default:
      return undefined;
  }
}

function isHello(frame: Readonly<Record<string, unknown>>): boolean {
  const newest = frame['newestProtocol'];
  return (
    typeof frame['protocol'] === 'number' &&
    (newest === undefined || typeof newest === 'number') &&
    typeof frame['node'] === 'string' &&
    isIdentifier(frame['node'])
  );
}

function isFragment(frame: Readonly<Record<string, unknown>>): boolean {
  return (
    Number.isSafeInteger(frame['message']) &&
    Number.isSafeInteger(frame['messageBytes']) &&
    Number(frame['messageBytes']) > 0 &&
    frame['bytes'] instanceof Uint8Array
  );
}

/** Reads the kind of a message; returns an empty string if it has none. */
export function readMessageKind(body: unknown): string {
  return typeof body === 'object' && body !== null && 'kind' in body
    ? String(body.kind)
    : '';
}
