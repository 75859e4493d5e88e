import type {ReportedLimit} from '@gentianshunt/entryModel';
import type {EndpointId} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** Rates are sent as whole thousandths. */
const RATE_SCALE = 1_000;

/** Encodes limits of endpoints; an absent one as an empty array. */
export function encodeEndpointLimits(
  limits: readonly ReportedLimit[],
): readonly unknown[] {
  return limits.flatMap(({endpoint, perSecond, ageMs}) => [
    endpoint,
    perSecond === null ? [] : [Math.round(perSecond * RATE_SCALE)],
    Math.round(ageMs),
  ]);
}

/** Decodes and validates limits of endpoints. */
export function decodeEndpointLimits(
  reader: WireReader,
): readonly ReportedLimit[] {
  return readRecords(reader, list => ({
    endpoint: list.readIdentifier<EndpointId>(),
    perSecond: decodeRate(list.readList()),
    ageMs: list.readCount(),
  }));
}

function decodeRate(reader: WireReader): number | null {
  return reader.remaining === 0 ? null : reader.readCount() / RATE_SCALE;
}
