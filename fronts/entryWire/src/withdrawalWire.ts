import type {
  LeftIncarnation,
  ReportedWithdrawal,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {EndpointId, IncarnationId} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** The kinds of incarnations, by their numbers on the wire. */
const LEFT_KINDS = ['numbered', 'named'] as const;

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

/** Encodes withdrawals, each as consecutive items. */
export function encodeWithdrawals(
  withdrawals: readonly ReportedWithdrawal[],
): readonly unknown[] {
  return withdrawals.flatMap(({endpoint, left, remainingMs}) => [
    endpoint,
    encodeLeft(left),
    Math.round(remainingMs),
  ]);
}

/** Decodes and validates withdrawals. */
export function decodeWithdrawals(
  reader: WireReader,
): readonly ReportedWithdrawal[] {
  return readRecords(reader, list => ({
    endpoint: list.readIdentifier<EndpointId>(),
    left: decodeLeft(list.readList()),
    remainingMs: list.readCount(),
  }));
}
