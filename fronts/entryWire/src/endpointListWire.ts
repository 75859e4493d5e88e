import type {EndpointList} from '@gentianshunt/entryModel';
import type {EndpointSetId} from '@gentianshunt/identifiers';

import {decodeTarget, encodeTarget} from './targetWire.js';
import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** Encodes the endpoints of a set as an array. */
export function encodeEndpointList(list: EndpointList): readonly unknown[] {
  return [
    list.set,
    list.epoch,
    list.digest,
    list.endpoints.flatMap(({target, concurrency}) => [
      ...encodeTarget(target),
      concurrency,
    ]),
  ];
}

/** Decodes and validates the endpoints of a set. */
export function decodeEndpointList(reader: WireReader): EndpointList {
  return {
    set: reader.readIdentifier<EndpointSetId>(),
    epoch: reader.readCount(),
    digest: reader.readCount(),
    endpoints: readRecords(reader.readList(), list => ({
      target: decodeTarget(list),
      concurrency: list.readCount(),
    })),
  };
}
