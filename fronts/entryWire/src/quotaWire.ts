import {
  formatQuotaAccount,
  readQuotaOrganisation,
  readQuotaPart,
} from '@gentianshunt/entryModel';
import type {
  QuotaDecision,
  QuotaRequest,
  QuotaUsageReport,
  ReportedUsage,
} from '@gentianshunt/entryModel';
import type {
  EndpointSetId,
  OrganisationId,
  QuotaAccountId,
  RequestId,
} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** Encodes a request for tokens of an account as an array. */
export function encodeQuotaRequest(
  quotaRequest: QuotaRequest,
): readonly unknown[] {
  return [
    ...encodeAccount(quotaRequest.account),
    quotaRequest.set,
    quotaRequest.epoch,
    quotaRequest.sequence,
    quotaRequest.request,
    quotaRequest.rank,
    quotaRequest.tokens,
    encodeUsageSlices(quotaRequest.used),
    quotaRequest.coversMs,
  ];
}

/** Decodes and validates a request for tokens of an account. */
export function decodeQuotaRequest(reader: WireReader): QuotaRequest {
  return {
    account: decodeAccount(reader),
    set: reader.readIdentifier<EndpointSetId>(),
    epoch: reader.readCount(),
    sequence: reader.readCount(),
    request: reader.readIdentifier<RequestId>(),
    rank: reader.readCount(),
    tokens: reader.readCount(),
    used: decodeUsageSlices(reader.readList()),
    coversMs: reader.readCount(),
  };
}

/** Encodes the tokens that an entry has used as an array. */
export function encodeQuotaUsageReport(
  report: QuotaUsageReport,
): readonly unknown[] {
  return [
    report.set,
    report.epoch,
    report.uses.flatMap(({account, sequence, used}) => [
      ...encodeAccount(account),
      sequence,
      encodeUsageSlices(used),
    ]),
    report.coversMs,
  ];
}

/** Decodes and validates the tokens that an entry has used. */
export function decodeQuotaUsageReport(reader: WireReader): QuotaUsageReport {
  return {
    set: reader.readIdentifier<EndpointSetId>(),
    epoch: reader.readCount(),
    uses: readRecords(reader.readList(), list => ({
      account: decodeAccount(list),
      sequence: list.readCount(),
      used: decodeUsageSlices(list.readList()),
    })),
    coversMs: reader.readCount(),
  };
}

function encodeAccount(account: QuotaAccountId): readonly unknown[] {
  return [readQuotaPart(account), readQuotaOrganisation(account)];
}

function decodeAccount(reader: WireReader): QuotaAccountId {
  const part = reader.readCount();
  return formatQuotaAccount(reader.readIdentifier<OrganisationId>(), part);
}

function encodeUsageSlices(
  slices: readonly ReportedUsage[],
): readonly number[] {
  return slices.flatMap(({ageMs, tokens}) => [ageMs, tokens]);
}

function decodeUsageSlices(reader: WireReader): readonly ReportedUsage[] {
  return readRecords(reader, list => ({
    ageMs: list.readCount(),
    tokens: list.readCount(),
  }));
}

/** Encodes the quota owner's decision about a request as an array. */
export function encodeQuotaDecision(
  decision: QuotaDecision,
): readonly unknown[] {
  return [
    ...encodeAccount(decision.account),
    decision.epoch,
    decision.sequence,
    decision.request,
    decision.isCovered ? 1 : 0,
    Math.ceil(decision.retryAfterMs),
    decision.spareTokens,
    decision.usedTokens,
    decision.limitTokens,
  ];
}

/** Decodes and validates the quota owner's decision about a request. */
export function decodeQuotaDecision(reader: WireReader): QuotaDecision {
  return {
    account: decodeAccount(reader),
    epoch: reader.readCount(),
    sequence: reader.readCount(),
    request: reader.readIdentifier<RequestId>(),
    isCovered: reader.readCount() === 1,
    retryAfterMs: reader.readCount(),
    spareTokens: reader.readCount(),
    usedTokens: reader.readCount(),
    limitTokens: reader.readCount(),
  };
}
