import type {EndpointSetId} from '@gentianshunt/identifiers';

import {findObject} from './objects.js';
import type {ConfigurationTable} from './objects.js';

/** Returns whether the endpoints of a set are model engines. */
export function isModelSet(
  table: ConfigurationTable,
  set: EndpointSetId,
): boolean {
  return findObject(table, 'endpointSet', set)?.service.kind === 'model';
}
