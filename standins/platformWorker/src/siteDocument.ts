/** How calls on a route may be handled. */
export type SiteRouteKind = 'safe' | 'unsafe' | 'stream' | 'resumableStream';

/** A route of a site's configuration. */
export interface SiteRoute {
  readonly name: string;
  readonly kind: SiteRouteKind;
  readonly service: string;
  readonly timeoutMs: number;
}

/** An organisation and the keys of its callers. */
export interface SiteOrganisation {
  readonly name: string;
  readonly keys: readonly string[];
}

/** A whole configuration of a site. */
export interface SiteConfiguration {
  readonly version: number;
  readonly host: string;
  readonly organisations: readonly SiteOrganisation[];
  readonly routes: readonly SiteRoute[];
}

/** Largest request body that the configuration allows, in bytes. */
export const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** The operator's document of a configuration. */
export interface SiteDocument {
  readonly version: number;
  readonly routes: readonly object[];
  readonly services: readonly object[];
  readonly limits: object;
  readonly tenants: readonly object[];
}

/** Builds the operator's document of a configuration. */
export function buildSiteDocument(
  configuration: SiteConfiguration,
): SiteDocument {
  const {version, host, organisations, routes} = configuration;
  const services = new Map(routes.map(route => [route.service, route]));
  return {
    version,
    routes: routes.map(route => buildRoute(host, route)),
    services: Array.from(services.values(), buildService),
    limits: {
      max_header_bytes: 16_384,
      max_body_bytes: MAX_BODY_BYTES,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: organisations.map(({name, keys}) => ({
      name,
      api_keys: keys,
      priority: 1,
    })),
  };
}

/** Returns whether calls of a kind may run more than once. */
export function isRepeatable(kind: SiteRouteKind): boolean {
  return kind === 'safe' || kind === 'resumableStream';
}

/** Returns whether answers of a kind are streams of events. */
export function isStream(kind: SiteRouteKind): boolean {
  return kind === 'stream' || kind === 'resumableStream';
}

function buildRoute(host: string, route: SiteRoute): object {
  const {name, kind, service, timeoutMs} = route;
  return {
    name: `r-${name}`,
    host,
    path_prefix: `/${name}/`,
    kind: isStream(kind) ? 'streaming' : kind,
    timeout_ms: timeoutMs,
    target_latency_ms: 300,
    priority: 1,
    service,
    max_attempts: isRepeatable(kind) ? 3 : 1,
    allow_anonymous: false,
    resumable: kind === 'resumableStream',
    gap_aim_ms: 400,
  };
}

function buildService({service, kind}: SiteRoute): object {
  const plain = {
    name: service,
    health_path: '/health',
    max_connections: 130,
    protocol: 'h1',
    tls: false,
  };
  return isStream(kind) ? {...plain, engine: {slots: 6}} : plain;
}
