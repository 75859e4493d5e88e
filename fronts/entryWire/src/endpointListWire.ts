import type {EndpointList} from '@gentianshunt/entryModel';
import type {EndpointId, EndpointSetId} from '@gentianshunt/identifiers';

import {readRecords} from './wireReader.js';
import type {WireReader} from './wireReader.js';

/** Encodes the endpoints of a set as an array. */
export function encodeEndpointList(list: EndpointList): readonly unknown[] {
  return [
    list.set,
    list.epoch,
    list.digest,
    list.endpoints.flatMap(({target, concurrency}) => [
      target.endpoint,
      target.url,
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
      target: {
        endpoint: list.readIdentifier<EndpointId>(),
        url: list.readText(),
      },
      concurrency: list.readCount(),
    })),
  };
}
