import type {
  EntryMessage,
  LeaveLogPosition,
  LeaveState,
  LeftIncarnation,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {EndpointId, IncarnationId} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** The kinds of incarnations, by their numbers on the wire. */
const LEFT_KINDS = ['numbered', 'named'] as const;
/** What happened to an endpoint, by their numbers on the wire. */
const LEAVE_STATES: readonly LeaveState[] = ['left', 'returned'];

type LeavesRequest = Extract<
  EntryMessage,
  {readonly kind: 'withdrawalsRequested'}
>;
type LeavesReport = Extract<
  EntryMessage,
  {readonly kind: 'withdrawalsReported'}
>;

/** Encodes the incarnation of an endpoint that left. */
export function encodeLeft(left: LeftIncarnation): readonly unknown[] {
  const kind = LEFT_KINDS.indexOf(left.kind);
  switch (left.kind) {
    case 'numbered':
      return [kind, left.startedAtMs];
    case 'named':
      return [kind, left.incarnation];
    default:
      return assertNever(left, 'encodeLeft');
  }
}

/** Decodes and validates the incarnation of an endpoint that left. */
export function decodeLeft(reader: WireReader): LeftIncarnation {
  const kind = reader.readReference(LEFT_KINDS);
  switch (kind) {
    case 'numbered':
      return {kind, startedAtMs: reader.readCount()};
    case 'named':
      return {kind, incarnation: reader.readIdentifier<IncarnationId>()};
    default:
      return assertNever(kind, 'decodeLeft');
  }
}

/** Encodes a request for leaves. */
export function encodeLeavesRequest({
  request,
  after,
  digest,
  own,
}: LeavesRequest): readonly unknown[] {
  return [
    request,
    after === null ? [] : encodePosition(after),
    toUnsigned(digest),
    encodePosition(own),
  ];
}

/** Decodes and validates a request for leaves. */
export function decodeLeavesRequest(reader: WireReader): LeavesRequest {
  const request = reader.readCount();
  const after = reader.readList();
  return {
    kind: 'withdrawalsRequested',
    request,
    after: after.remaining === 0 ? null : decodePosition(after),
    // Digests are combined by operators that yield signed numbers.
    digest: reader.readCount() | 0,
    own: decodePosition(reader.readList()),
  };
}

/** Encodes a report of leaves. */
export function encodeLeavesReport({
  request,
  position,
  isComplete,
  isCurrent,
  withdrawals,
}: LeavesReport): readonly unknown[] {
  return [
    request,
    encodePosition(position),
    isComplete ? 1 : 0,
    isCurrent ? 1 : 0,
    withdrawals.flatMap(({endpoint, state, incarnation, remainingMs}) => [
      endpoint,
      LEAVE_STATES.indexOf(state),
      encodeLeft(incarnation),
      Math.round(remainingMs),
    ]),
  ];
}

/** Decodes and validates a report of leaves. */
export function decodeLeavesReport(reader: WireReader): LeavesReport {
  return {
    kind: 'withdrawalsReported',
    request: reader.readCount(),
    position: decodePosition(reader.readList()),
    isComplete: reader.readCount() === 1,
    isCurrent: reader.readCount() === 1,
    withdrawals: readRecords(reader.readList(), list => ({
      endpoint: list.readIdentifier<EndpointId>(),
      state: list.readReference(LEAVE_STATES),
      incarnation: decodeLeft(list.readList()),
      remainingMs: list.readCount(),
    })),
  };
}

function encodePosition({
  process,
  version,
}: LeaveLogPosition): readonly unknown[] {
  return [process, version];
}

function decodePosition(reader: WireReader): LeaveLogPosition {
  return {
    process: reader.readIdentifier<IncarnationId>(),
    version: reader.readCount(),
  };
}

function toUnsigned(digest: number): number {
  return digest >>> 0;
}
