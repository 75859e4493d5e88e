import type {Milliseconds} from '@gentianshunt/clock';
import {listObjects} from '@gentianshunt/configuration';
import type {ConfigurationTable, Route} from '@gentianshunt/configuration';
import type {EndpointSetId} from '@gentianshunt/identifiers';

/** Shortest time for which an origin is remembered. */
const MIN_MEMORY_MS: Milliseconds = 10_000;
/** Time in which callers take a stream up, in time limits of its route. */
const TIME_LIMITS = 2;

/** Computes how long a stream may be taken up after its first event. */
export function computeMemoryMs(
  configuration: ConfigurationTable,
): Milliseconds {
  const limits = listStreamRoutes(configuration).map(
    ({timeoutMs}) => TIME_LIMITS * timeoutMs,
  );
  return Math.max(MIN_MEMORY_MS, ...limits);
}

/** Lists the sets whose streams may be taken up. */
export function listStreamSets(
  configuration: ConfigurationTable,
): ReadonlySet<EndpointSetId> {
  const shares = listStreamRoutes(configuration).flatMap(route => route.shares);
  return new Set(shares.map(({set}) => set));
}

function listStreamRoutes(configuration: ConfigurationTable): readonly Route[] {
  return listObjects(configuration, 'route').filter(
    ({isStream, isResumable}) => isStream && isResumable,
  );
}
