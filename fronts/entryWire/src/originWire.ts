import type {
  OriginMessage,
  ReportedHistory,
  ReportedOrigin,
  ReportedSoftware,
  StreamOrigin,
  UnreportedStreams,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {EndpointSetId, RequestId} from '@gentianshunt/identifiers';

import {decodeSoftware, encodeSoftware} from './targetWire.js';
import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

type OriginRequest = Extract<
  OriginMessage,
  {readonly kind: 'streamOriginRequested'}
>;
type OriginAnswer = Extract<
  OriginMessage,
  {readonly kind: 'streamOriginAnswered'}
>;

/** Stands for an attempt that is not named. */
const UNNAMED = '';
const UNREPORTED_KINDS = {unsure: 0, none: 1, begun: 2} as const;

/** Encodes a message about what began streams as consecutive items. */
export function encodeOriginMessage(
  message: OriginMessage,
): readonly unknown[] {
  switch (message.kind) {
    case 'streamOriginsReported':
      return [encodeOrigins(message.origins), message.isAwaited ? 1 : 0];
    case 'streamOriginsKept':
      return [message.attempts];
    case 'streamOriginsRequested':
    case 'softwareHistoryRequested':
      return [message.set];
    case 'streamOriginRequested':
      return encodeOriginRequest(message);
    case 'streamOriginAnswered':
      return encodeOriginAnswer(message);
    case 'softwareHistoryReported':
      return [message.set, encodeHistory(message.history)];
    default:
      return assertNever(message, 'encodeOriginMessage');
  }
}

function encodeOrigins(origins: readonly ReportedOrigin[]): readonly unknown[] {
  return origins.flatMap(({attempt, set, software}) => [
    attempt,
    set,
    encodeSoftware(software),
  ]);
}

/** Decodes and validates the origins that an entry reports. */
export function decodeOriginsReported(reader: WireReader): OriginMessage {
  return {
    kind: 'streamOriginsReported',
    origins: decodeOrigins(reader.readList()),
    isAwaited: reader.readCount() === 1,
  };
}

/** Decodes and validates the attempts whose origins an entry keeps. */
export function decodeOriginsKept(reader: WireReader): OriginMessage {
  return {
    kind: 'streamOriginsKept',
    attempts: readRecords(
      reader.readList(),
      list => list.readText() as RequestId,
    ),
  };
}

function decodeOrigins(reader: WireReader): readonly ReportedOrigin[] {
  return readRecords(reader, list => ({
    attempt: list.readText() as RequestId,
    set: list.readIdentifier<EndpointSetId>(),
    software: decodeSoftware(list),
  }));
}

function encodeOriginRequest({
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

function encodeOriginAnswer({
  request,
  origin,
  vote: {seen, unreported, isKeeper, isComplete},
}: OriginAnswer): readonly unknown[] {
  return [
    request,
    encodeOrigin(origin),
    seen.map(encodeSoftware),
    encodeUnreported(unreported),
    isKeeper ? 1 : 0,
    isComplete ? 1 : 0,
  ];
}

function encodeOrigin(origin: StreamOrigin | null): readonly unknown[] {
  return origin === null ? [] : [encodeSoftware(origin.software)];
}

function encodeUnreported(unreported: UnreportedStreams): readonly unknown[] {
  switch (unreported.kind) {
    case 'unsure':
      return [UNREPORTED_KINDS.unsure];
    case 'none':
      return [UNREPORTED_KINDS.none];
    case 'begun':
      return [UNREPORTED_KINDS.begun, encodeSoftware(unreported.software)];
    default:
      return assertNever(unreported, 'encodeUnreported');
  }
}

function decodeUnreported(reader: WireReader): UnreportedStreams {
  switch (reader.readCount()) {
    case UNREPORTED_KINDS.begun:
      return {kind: 'begun', software: decodeSoftware(reader)};
    case UNREPORTED_KINDS.none:
      return {kind: 'none'};
    default:
      return {kind: 'unsure'};
  }
}

function decodeOrigin(reader: WireReader): StreamOrigin | null {
  return reader.remaining === 0 ? null : {software: decodeSoftware(reader)};
}

/** Decodes and validates the answer to a question about an origin. */
export function decodeOriginAnswer(reader: WireReader): OriginAnswer {
  const request = reader.readText() as RequestId;
  return {
    kind: 'streamOriginAnswered',
    request,
    origin: decodeOrigin(reader.readList()),
    vote: {
      seen: readRecords(reader.readList(), decodeSoftware),
      unreported: decodeUnreported(reader.readList()),
      isKeeper: reader.readCount() === 1,
      isComplete: reader.readCount() === 1,
    },
  };
}

function encodeHistory(history: ReportedHistory | null): readonly unknown[] {
  return history === null
    ? []
    : [
        Math.round(history.ageMs),
        history.isDoubted ? 1 : 0,
        history.sole === null ? [] : encodeReportedSoftware(history.sole),
        ...history.software.flatMap(encodeReportedSoftware),
      ];
}

/** Decodes and validates what an entry has seen of the software of a set. */
export function decodeHistoryReported(reader: WireReader): OriginMessage {
  return {
    kind: 'softwareHistoryReported',
    set: reader.readIdentifier<EndpointSetId>(),
    history: decodeHistory(reader.readList()),
  };
}

function decodeHistory(reader: WireReader): ReportedHistory | null {
  return reader.remaining === 0
    ? null
    : {
        ageMs: reader.readCount(),
        isDoubted: reader.readCount() === 1,
        sole: decodeSole(reader.readList()),
        software: readRecords(reader, decodeReportedSoftware),
      };
}

function encodeReportedSoftware({
  software,
  ageMs,
}: ReportedSoftware): readonly unknown[] {
  return [encodeSoftware(software), Math.round(ageMs)];
}

function decodeReportedSoftware(reader: WireReader): ReportedSoftware {
  return {software: decodeSoftware(reader), ageMs: reader.readCount()};
}

function decodeSole(reader: WireReader): ReportedSoftware | null {
  return reader.remaining === 0 ? null : decodeReportedSoftware(reader);
}
