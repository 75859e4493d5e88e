import type {
  AllotmentAsk,
  AllotmentVerdict,
  ReportedUse,
  ToldUses,
} from '@gentianshunt/entryModel';
import type {
  EndpointSetId,
  OrganisationId,
  RequestId,
} from '@gentianshunt/identifiers';

import {readAll} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** Encodes a question after an allotment as lists. */
export function encodeAllotmentAsk(ask: AllotmentAsk): readonly unknown[] {
  return [
    ask.organisation,
    ask.set,
    ask.epoch,
    ask.sequence,
    ask.request,
    ask.rank,
    ask.tokens,
    encodeUsed(ask.used),
    ask.coversMs,
  ];
}

/** Decodes a question after an allotment and checks its form. */
export function decodeAllotmentAsk(reader: WireReader): AllotmentAsk {
  return {
    organisation: reader.readIdentifier<OrganisationId>(),
    set: reader.readIdentifier<EndpointSetId>(),
    epoch: reader.readCount(),
    sequence: reader.readCount(),
    request: reader.readIdentifier<RequestId>(),
    rank: reader.readCount(),
    tokens: reader.readCount(),
    used: decodeUsed(reader.readList()),
    coversMs: reader.readCount(),
  };
}

/** Encodes what an entry has used as lists. */
export function encodeToldUses(told: ToldUses): readonly unknown[] {
  return [
    told.set,
    told.epoch,
    told.uses.flatMap(({organisation, sequence, used}) => [
      organisation,
      sequence,
      encodeUsed(used),
    ]),
    told.coversMs,
  ];
}

/** Decodes what an entry has used and checks its form. */
export function decodeToldUses(reader: WireReader): ToldUses {
  return {
    set: reader.readIdentifier<EndpointSetId>(),
    epoch: reader.readCount(),
    uses: readAll(reader.readList(), list => ({
      organisation: list.readIdentifier<OrganisationId>(),
      sequence: list.readCount(),
      used: decodeUsed(list.readList()),
    })),
    coversMs: reader.readCount(),
  };
}

function encodeUsed(used: readonly ReportedUse[]): readonly number[] {
  return used.flatMap(({ageMs, tokens}) => [ageMs, tokens]);
}

function decodeUsed(reader: WireReader): readonly ReportedUse[] {
  return readAll(reader, list => ({
    ageMs: list.readCount(),
    tokens: list.readCount(),
  }));
}

/** Encodes what the keeper of an allotment decided. */
export function encodeAllotmentVerdict(
  verdict: AllotmentVerdict,
): readonly unknown[] {
  return [
    verdict.organisation,
    verdict.epoch,
    verdict.sequence,
    verdict.request,
    verdict.isCovered ? 1 : 0,
    Math.ceil(verdict.retryAfterMs),
    verdict.spareTokens,
    verdict.usedTokens,
    verdict.limitTokens,
  ];
}

/** Decodes what the keeper of an allotment decided and checks its form. */
export function decodeAllotmentVerdict(reader: WireReader): AllotmentVerdict {
  return {
    organisation: reader.readIdentifier<OrganisationId>(),
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
