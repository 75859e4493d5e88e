import {listObjects} from '@gentianshunt/configuration';
import type {
  CallerKeyPolicy,
  ConfigurationTable,
  Organisation,
  Release,
  Route,
} from '@gentianshunt/configuration';
import {assertNever} from '@gentianshunt/errors';

/** What the key of a call, or its absence, says of the caller. */
export type Credential =
  /** Callers have no keys here; whatever was sent says nothing. */
  | {readonly kind: 'ignored'}
  /** The call carries no key. */
  | {readonly kind: 'missing'}
  /** No organisation has the key, or none has it any more. */
  | {readonly kind: 'unknown'}
  | {readonly kind: 'valid'; readonly organisation: Organisation};

/** The routes and API keys of one configuration, indexed for lookup. */
export interface RoutingTable {
  /** The release of the configuration; `undefined` before the first one. */
  readonly release: Release | undefined;
  /** Finds the route of a host with the longest prefix of a path. */
  findRoute(host: string, path: string): Route | undefined;
  /** Checks the key of a call; `null` if the call carries none. */
  checkKey(key: string | null): Credential;
}

/** Indexes the routes and API keys of a configuration. */
export function createRoutingTable(
  configuration: ConfigurationTable,
): RoutingTable {
  const byHost = new Map<string, Route[]>();
  for (const route of listObjects(configuration, 'route')) {
    const routes = byHost.get(route.host) ?? [];
    routes.push(route);
    byHost.set(route.host, routes);
  }
  for (const routes of byHost.values()) {
    routes.sort(
      (left, right) => right.pathPrefix.length - left.pathPrefix.length,
    );
  }
  const organisations = listObjects(configuration, 'organisation');
  const byKey = new Map(
    organisations.flatMap(organisation =>
      (organisation.keys ?? []).map(key => [key, organisation] as const),
    ),
  );
  const [release] = listObjects(configuration, 'release');
  const keyPolicy = release?.callerKeys ?? pickKeyPolicy(organisations);
  return {
    release,
    findRoute: (host, path) =>
      byHost.get(host)?.find(({pathPrefix}) => path.startsWith(pathPrefix)),
    checkKey: key => {
      switch (keyPolicy) {
        case 'ignored':
          return {kind: 'ignored'};
        case 'checked':
          return checkKey(byKey, key);
        default:
          return assertNever(keyPolicy, 'checkKey');
      }
    },
  };
}

function checkKey(
  byKey: ReadonlyMap<string, Organisation>,
  key: string | null,
): Credential {
  if (key === null) {
    return {kind: 'missing'};
  }
  const organisation = byKey.get(key);
  return organisation === undefined
    ? {kind: 'unknown'}
    : {kind: 'valid', organisation};
}

function pickKeyPolicy(
  organisations: readonly Organisation[],
): CallerKeyPolicy {
  return organisations.some(({keys}) => keys !== undefined)
    ? 'checked'
    : 'ignored';
}
