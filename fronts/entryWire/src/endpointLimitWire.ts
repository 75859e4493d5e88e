import type {ReportedLimit, SharedLimit} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** Rates are sent as whole thousandths. */
const RATE_SCALE = 1_000;

/** Stands for no rate in front of rejections; older daemons take it for a rate. */
const NO_RATE = 10 ** 12;

/** Encodes limits of endpoints; absent ones as an empty array. */
export function encodeEndpointLimits(
  limits: readonly ReportedLimit[],
): readonly unknown[] {
  return limits.flatMap(({endpoint, ageMs, ...shared}) => [
    endpoint,
    encodeShared(shared),
    Math.round(ageMs),
  ]);
}

/** Decodes and validates limits of endpoints. */
export function decodeEndpointLimits(
  reader: WireReader,
): readonly ReportedLimit[] {
  return readRecords(reader, list => ({
    endpoint: list.readIdentifier<EndpointId>(),
    ...decodeShared(list.readList()),
    ageMs: list.readCount(),
  }));
}

function encodeShared({
  perSecond,
  rejectionsPerSecond,
}: SharedLimit): readonly number[] {
  const rate = perSecond === null ? NO_RATE : toThousandths(perSecond);
  if (rejectionsPerSecond !== null) {
    return [rate, toThousandths(rejectionsPerSecond)];
  }
  return perSecond === null ? [] : [rate];
}

function toThousandths(rate: number): number {
  return Math.round(rate * RATE_SCALE);
}

function decodeShared(reader: WireReader): SharedLimit {
  const rate = reader.remaining === 0 ? NO_RATE : reader.readCount();
  const rejections = reader.remaining === 0 ? null : reader.readCount();
  return {
    perSecond: rate === NO_RATE ? null : rate / RATE_SCALE,
    rejectionsPerSecond: rejections === null ? null : rejections / RATE_SCALE,
  };
}
