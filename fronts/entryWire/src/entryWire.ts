import type {
  EndpointAnnouncement,
  EntryMessage,
} from '@gentianshunt/entryModel';
import {assertNever} from '@gentianshunt/errors';
import type {
  EndpointId,
  EndpointSetId,
  FailureDomainId,
  IncarnationId,
  FingerprintId,
} from '@gentianshunt/identifiers';

import {decodeDemandReport, encodeDemandReport} from './demandReportWire.js';
import {
  decodeEndpointLimits,
  encodeEndpointLimits,
} from './endpointLimitWire.js';
import {decodeEndpointList, encodeEndpointList} from './endpointListWire.js';
import {decodeGrantReply, encodeGrantReply} from './grantReplyWire.js';
import {
  decodeQuotaDecision,
  decodeQuotaRequest,
  decodeQuotaUsageReport,
  encodeQuotaDecision,
  encodeQuotaRequest,
  encodeQuotaUsageReport,
} from './quotaWire.js';
import {
  decodeBrokenRuns,
  decodeQuarantines,
  decodeSoundUse,
  encodeBrokenRuns,
  encodeQuarantines,
  encodeSoundUse,
} from './quarantineWire.js';
import {
  decodeHistoryReported,
  decodeOriginAnswer,
  decodeOriginRequest,
  decodeOriginsKept,
  decodeOriginsReported,
  encodeOriginMessage,
} from './originWire.js';
import {decodeOwnSoftware, encodeSoftware} from './targetWire.js';
import {MalformedMessageError} from './wireErrors.js';
import {createWireReader} from './wireReader.js';
import type {WireReader} from './wireReader.js';
import {
  decodeLeavesReport,
  decodeLeavesRequest,
  decodeLeft,
  encodeLeavesReport,
  encodeLeavesRequest,
  encodeLeft,
} from './withdrawalWire.js';

/** The number that stands for each message kind on the wire. */
const WIRE_KINDS = {
  demandReport: 1,
  grantReply: 2,
  notSetLeader: 3,
  endpointAnnounced: 4,
  endpointLeft: 5,
  endpointsListed: 6,
  quotaRequest: 7,
  quotaDecision: 8,
  quotaUsageReport: 9,
  quotaUsageQuery: 10,
  brokenRunsReported: 11,
  soundUseReported: 12,
  quarantinesReported: 13,
  quarantineTestRequested: 14,
  endpointLimitsReported: 15,
  withdrawalsRequested: 16,
  withdrawalsReported: 17,
  leaveConfirmed: 18,
  streamOriginsReported: 19,
  streamOriginRequested: 20,
  streamOriginAnswered: 21,
  softwareHistoryRequested: 22,
  softwareHistoryReported: 23,
  streamOriginsKept: 24,
  streamOriginsRequested: 25,
} as const satisfies Readonly<Record<EntryMessage['kind'], number>>;

/** Encodes a message between entries as nested arrays. */
export function encodeEntryMessage(message: EntryMessage): readonly unknown[] {
  const kind = WIRE_KINDS[message.kind];
  switch (message.kind) {
    case 'demandReport':
      return [kind, ...encodeDemandReport(message.report)];
    case 'grantReply':
      return [kind, ...encodeGrantReply(message.reply)];
    case 'notSetLeader':
      return [kind, message.set, message.epoch, message.sequence];
    case 'endpointAnnounced':
      return [kind, ...encodeAnnouncement(message.announcement)];
    case 'endpointLeft':
      return [
        kind,
        message.endpoint,
        encodeLeft(message.left),
        message.isConfirmationRequested ? 1 : 0,
      ];
    case 'leaveConfirmed':
      return [kind, message.endpoint, encodeLeft(message.left)];
    case 'withdrawalsRequested':
      return [kind, ...encodeLeavesRequest(message)];
    case 'withdrawalsReported':
      return [kind, ...encodeLeavesReport(message)];
    case 'endpointsListed':
      return [kind, ...encodeEndpointList(message.list)];
    case 'quotaRequest':
      return [kind, ...encodeQuotaRequest(message.request)];
    case 'quotaDecision':
      return [kind, ...encodeQuotaDecision(message.decision)];
    case 'quotaUsageQuery':
      return [kind, message.set, message.epoch];
    case 'quotaUsageReport':
      return [kind, ...encodeQuotaUsageReport(message.report)];
    case 'endpointLimitsReported':
      return [kind, message.set, encodeEndpointLimits(message.limits)];
    case 'brokenRunsReported':
      return [kind, message.set, encodeBrokenRuns(message.runs)];
    case 'soundUseReported':
      return [kind, encodeSoundUse(message.uses)];
    case 'quarantinesReported':
      return [
        kind,
        message.isReplyRequested ? 1 : 0,
        encodeQuarantines(message.quarantines),
      ];
    case 'quarantineTestRequested':
      return [kind, message.fingerprint];
    case 'streamOriginsReported':
    case 'streamOriginsKept':
    case 'streamOriginsRequested':
    case 'streamOriginRequested':
    case 'streamOriginAnswered':
    case 'softwareHistoryRequested':
    case 'softwareHistoryReported':
      return [kind, ...encodeOriginMessage(message)];
    default:
      return assertNever(message, 'encodeEntryMessage');
  }
}

/** Returns whether a body is a message between entries, which are arrays. */
export function isEntryMessage(body: unknown): boolean {
  return Array.isArray(body);
}

/**
 * Decodes a message between entries.
 * @throws {MalformedMessageError} if the body is not a valid message
 */
export function decodeEntryMessage(body: unknown, peer: string): EntryMessage {
  const reader = createWireReader(body, peer);
  const message = decodeByKind(reader, peer);
  if (reader.remaining > 0) {
    throw new MalformedMessageError(peer, 'unexpected trailing items');
  }
  return message;
}

function decodeByKind(reader: WireReader, peer: string): EntryMessage {
  switch (reader.readCount()) {
    case WIRE_KINDS.demandReport:
      return {kind: 'demandReport', report: decodeDemandReport(reader)};
    case WIRE_KINDS.grantReply:
      return {kind: 'grantReply', reply: decodeGrantReply(reader)};
    case WIRE_KINDS.notSetLeader:
      return {
        kind: 'notSetLeader',
        set: reader.readIdentifier<EndpointSetId>(),
        epoch: reader.readCount(),
        sequence: reader.readCount(),
      };
    case WIRE_KINDS.endpointAnnounced:
      return {
        kind: 'endpointAnnounced',
        announcement: decodeAnnouncement(reader),
      };
    case WIRE_KINDS.endpointLeft:
      return {
        kind: 'endpointLeft',
        endpoint: reader.readIdentifier<EndpointId>(),
        left: decodeLeft(reader.readList()),
        isConfirmationRequested: reader.readCount() === 1,
      };
    case WIRE_KINDS.leaveConfirmed:
      return {
        kind: 'leaveConfirmed',
        endpoint: reader.readIdentifier<EndpointId>(),
        left: decodeLeft(reader.readList()),
      };
    case WIRE_KINDS.withdrawalsRequested:
      return decodeLeavesRequest(reader);
    case WIRE_KINDS.withdrawalsReported:
      return decodeLeavesReport(reader);
    case WIRE_KINDS.endpointsListed:
      return {kind: 'endpointsListed', list: decodeEndpointList(reader)};
    case WIRE_KINDS.quotaRequest:
      return {kind: 'quotaRequest', request: decodeQuotaRequest(reader)};
    case WIRE_KINDS.quotaDecision:
      return {
        kind: 'quotaDecision',
        decision: decodeQuotaDecision(reader),
      };
    case WIRE_KINDS.quotaUsageQuery:
      return {
        kind: 'quotaUsageQuery',
        set: reader.readIdentifier<EndpointSetId>(),
        epoch: reader.readCount(),
      };
    case WIRE_KINDS.quotaUsageReport:
      return {kind: 'quotaUsageReport', report: decodeQuotaUsageReport(reader)};
    case WIRE_KINDS.endpointLimitsReported:
      return {
        kind: 'endpointLimitsReported',
        set: reader.readIdentifier<EndpointSetId>(),
        limits: decodeEndpointLimits(reader.readList()),
      };
    case WIRE_KINDS.brokenRunsReported:
      return {
        kind: 'brokenRunsReported',
        set: reader.readIdentifier<EndpointSetId>(),
        runs: decodeBrokenRuns(reader.readList()),
      };
    case WIRE_KINDS.soundUseReported:
      return {
        kind: 'soundUseReported',
        uses: decodeSoundUse(reader.readList()),
      };
    case WIRE_KINDS.quarantinesReported:
      return {
        kind: 'quarantinesReported',
        isReplyRequested: reader.readCount() === 1,
        quarantines: decodeQuarantines(reader.readList()),
      };
    case WIRE_KINDS.quarantineTestRequested:
      return {
        kind: 'quarantineTestRequested',
        fingerprint: reader.readIdentifier<FingerprintId>(),
      };
    case WIRE_KINDS.streamOriginsReported:
      return decodeOriginsReported(reader);
    case WIRE_KINDS.streamOriginsKept:
      return decodeOriginsKept(reader);
    case WIRE_KINDS.streamOriginsRequested:
      return {kind: 'streamOriginsRequested', set: reader.readIdentifier()};
    case WIRE_KINDS.streamOriginRequested:
      return decodeOriginRequest(reader);
    case WIRE_KINDS.streamOriginAnswered:
      return decodeOriginAnswer(reader);
    case WIRE_KINDS.softwareHistoryRequested:
      return {kind: 'softwareHistoryRequested', set: reader.readIdentifier()};
    case WIRE_KINDS.softwareHistoryReported:
      return decodeHistoryReported(reader);
    default:
      throw new MalformedMessageError(peer, 'unknown message kind');
  }
}

function encodeAnnouncement(
  announcement: EndpointAnnouncement,
): readonly unknown[] {
  const {load, order, software} = announcement;
  return [
    announcement.endpoint,
    announcement.incarnation,
    announcement.set,
    announcement.domain,
    announcement.url,
    announcement.concurrency,
    announcement.checksFencing ? 1 : 0,
    announcement.leaving ? 1 : 0,
    encodeSoftware(software),
    load === null ? [] : [load.running, load.waiting, Math.round(load.ageMs)],
    order === undefined ? [] : [order.startedAtMs, order.sequence],
  ];
}

function decodeAnnouncement(reader: WireReader): EndpointAnnouncement {
  const announcement = {
    endpoint: reader.readIdentifier<EndpointId>(),
    incarnation: reader.readIdentifier<IncarnationId>(),
    set: reader.readIdentifier<EndpointSetId>(),
    domain: reader.readIdentifier<FailureDomainId>(),
    url: reader.readText(),
    concurrency: reader.readCount(),
    checksFencing: reader.readCount() === 1,
    leaving: reader.readCount() === 1,
    ...decodeOwnSoftware(reader),
    load: decodeLoad(reader.readList()),
  };
  const order = reader.readList();
  return order.remaining === 0
    ? announcement
    : {
        ...announcement,
        order: {startedAtMs: order.readCount(), sequence: order.readCount()},
      };
}

function decodeLoad(reader: WireReader): EndpointAnnouncement['load'] {
  return reader.remaining === 0
    ? null
    : {
        running: reader.readCount(),
        waiting: reader.readCount(),
        ageMs: reader.readCount(),
      };
}
