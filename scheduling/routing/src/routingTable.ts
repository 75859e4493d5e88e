import {listObjects} from '@gentianshunt/configuration';
import type {
  ConfigurationTable,
  Organisation,
  Release,
  Route,
} from '@gentianshunt/configuration';

/** The routes and API keys of one configuration, indexed for lookup. */
export interface RoutingTable {
  /** The release of the configuration; `undefined` before the first one. */
  readonly release: Release | undefined;
  /** Finds the route of a host with the longest prefix of a path. */
  findRoute(host: string, path: string): Route | undefined;
  findOrganisation(key: string): Organisation | undefined;
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
  const byKey = new Map(
    listObjects(configuration, 'organisation').flatMap(organisation =>
      (organisation.keys ?? []).map(key => [key, organisation] as const),
    ),
  );
  const [release] = listObjects(configuration, 'release');
  return {
    release,
    findRoute: (host, path) =>
      byHost.get(host)?.find(({pathPrefix}) => path.startsWith(pathPrefix)),
    findOrganisation: key => byKey.get(key),
  };
}
