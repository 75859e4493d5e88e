import type {
  EntryMessage,
  ReportedHistory,
  ReportedOrigin,
} from '@gentianshunt/entryModel';
import type {EndpointSetId, RequestId} from '@gentianshunt/identifiers';

import {decodeSoftware, encodeSoftware} from './targetWire.js';
import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

type OriginRequest = Extract<
  EntryMessage,
  {readonly kind: 'streamOriginRequested'}
>;
type OriginAnswer = Extract<
  EntryMessage,
  {readonly kind: 'streamOriginAnswered'}
>;

/** Stands for an attempt that is not named. */
const UNNAMED = '';

/** Encodes the origins of streams as consecutive items. */
export function encodeOrigins(
  origins: readonly ReportedOrigin[],
): readonly unknown[] {
  return origins.flatMap(({attempt, set, software}) => [
    attempt,
    set,
    encodeSoftware(software),
  ]);
}

/** Decodes and validates the origins of streams. */
export function decodeOrigins(reader: WireReader): readonly ReportedOrigin[] {
  return readRecords(reader, list => ({
    attempt: list.readText() as RequestId,
    set: list.readIdentifier<EndpointSetId>(),
    software: decodeSoftware(list),
  }));
}

/** Encodes a question about the origin of a stream. */
export function encodeOriginRequest({
  request,
  set,
  attempt,
}: OriginRequest): readonly unknown[] {
  return [request, set, attempt ?? UNNAMED];
}

/** Decodes and validates a question about the origin of a stream. */
export function decodeOriginRequest(reader: WireReader): OriginRequest {
  const request = reader.readText() as RequestId;
  const set = reader.readIdentifier<EndpointSetId>();
  const attempt = reader.readText();
  return {
    kind: 'streamOriginRequested',
    request,
    set,
    attempt: attempt === UNNAMED ? null : (attempt as RequestId),
  };
}

/** Encodes the answer to a question about the origin of a stream. */
export function encodeOriginAnswer({
  request,
  origin,
  seen,
  isVouched,
}: OriginAnswer): readonly unknown[] {
  return [
    request,
    origin === null ? [] : [encodeSoftware(origin.software)],
    seen.map(encodeSoftware),
    isVouched ? 1 : 0,
  ];
}

/** Decodes and validates the answer to a question about an origin. */
export function decodeOriginAnswer(reader: WireReader): OriginAnswer {
  const request = reader.readText() as RequestId;
  const origin = reader.readList();
  return {
    kind: 'streamOriginAnswered',
    request,
    origin: origin.remaining === 0 ? null : {software: decodeSoftware(origin)},
    seen: readRecords(reader.readList(), decodeSoftware),
    isVouched: reader.readCount() === 1,
  };
}

/** Encodes what an entry has seen of the software of a set. */
export function encodeHistory(
  history: ReportedHistory | null,
): readonly unknown[] {
  return history === null
    ? []
    : [
        Math.round(history.ageMs),
        ...history.software.flatMap(({software, ageMs}) => [
          encodeSoftware(software),
          Math.round(ageMs),
        ]),
      ];
}

/** Decodes and validates what an entry has seen of the software of a set. */
export function decodeHistory(reader: WireReader): ReportedHistory | null {
  return reader.remaining === 0
    ? null
    : {
        ageMs: reader.readCount(),
        software: readRecords(reader, list => ({
          software: decodeSoftware(list),
          ageMs: list.readCount(),
        })),
      };
}
