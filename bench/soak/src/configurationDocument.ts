import {createHash} from 'node:crypto';

import {assertNever} from '@gentianshunt/errors';
import {buildSiteDocument, isStream} from '@gentianshunt/platformWorker';
import type {
  SiteDocument,
  SiteOrganisation,
  SiteRoute,
  SiteRouteKind,
} from '@gentianshunt/platformWorker';

import {FIXED_SERVICE, MOVING_SERVICES} from './configurationContent.js';
import type {ConfigurationContent} from './configurationContent.js';
import type {DocumentFiller} from './configurationLoad.js';

/** The kinds of routes; each has a route and a service of its name. */
export const ROUTE_KINDS: readonly SiteRouteKind[] = [
  'safe',
  'unsafe',
  'stream',
  'resumableStream',
];

/** What a document is built from. */
export interface DocumentPlan {
  readonly version: number;
  readonly host: string;
  readonly key: string;
  readonly content: ConfigurationContent;
  readonly filler: DocumentFiller;
}

/** The ways in which a document is invalid. */
export type InvalidForm =
  | 'cutShort'
  | 'notUtf8'
  | 'unknownService'
  | 'twoRoutesAlike'
  | 'weightsOfZero'
  | 'timeoutOfZero'
  | 'sharedKey';

/** All ways in which a document is invalid. */
export const INVALID_FORMS: readonly InvalidForm[] = [
  'cutShort',
  'notUtf8',
  'unknownService',
  'twoRoutesAlike',
  'weightsOfZero',
  'timeoutOfZero',
  'sharedKey',
];

/** Path prefixes of the routes that only probes call. */
export const MOVING_ROUTE = 'moving';
export const REFUSED_ROUTE = 'refused';

const CALL_TIMEOUT_MS = 4_000;
const STREAM_TIMEOUT_MS = 6_000;
/** Timeouts of the moving route and of fillers differ by less than this. */
const TIMEOUT_RANGE_MS = 900;
const KEYS_PER_FILLER = 30;
const FILLER_KEY_BYTES = 150;
/** Bytes of a filling organisation with its keys. */
const FILLER_BYTES = 4_670;
const BYTES_PER_KILOBYTE = 1_000;
const CUT_BYTES = 40;
/** A byte that UTF-8 never contains. */
const NO_UTF8_BYTE = 0xff;

/** Builds a document. */
export function buildDocument(plan: DocumentPlan): SiteDocument {
  const {version, host, key, content} = plan;
  const {routes, organisations} = createFiller(plan);
  const extraKeys = content.extraKeys.map(formatExtraKey);
  return buildSiteDocument({
    version,
    host,
    organisations: [{name: 'lab', keys: [key, ...extraKeys]}, ...organisations],
    routes: [...listRoutes(plan), ...routes],
  });
}

/** Builds the bytes of a document that must be refused. */
export function buildInvalidDocument(
  plan: DocumentPlan,
  form: InvalidForm,
): Buffer {
  const document = buildDocument(plan);
  const text = JSON.stringify(document);
  const [first, ...others] = document.routes;
  const changeFirst = (change: object): Buffer =>
    encodeDocument({...document, routes: [{...first, ...change}, ...others]});
  switch (form) {
    case 'cutShort':
      return Buffer.from(text.slice(0, -CUT_BYTES));
    case 'notUtf8':
      return replaceByte(Buffer.from(text), plan.key);
    case 'unknownService':
      return changeFirst({service: 's-unknown'});
    case 'timeoutOfZero':
      return changeFirst({timeout_ms: 0});
    case 'weightsOfZero':
      return changeFirst({
        service: undefined,
        traffic_split: MOVING_SERVICES.slice(0, 2).map(service => ({
          service,
          weight: 0,
        })),
      });
    case 'twoRoutesAlike':
      return encodeDocument({
        ...document,
        routes: [...document.routes, {...first, name: 'r-twin'}],
      });
    case 'sharedKey':
      return encodeDocument({
        ...document,
        tenants: [...document.tenants, {...document.tenants[0], name: 'other'}],
      });
    default:
      return assertNever(form, 'buildInvalidDocument');
  }
}

/** Encodes a document as an operator sends it. */
export function encodeDocument(document: SiteDocument): Buffer {
  return Buffer.from(JSON.stringify(document));
}

/** Computes a digest of a JSON value that the order of its fields leaves alone. */
export function digestDocument(value: unknown): string {
  const text = JSON.stringify(value, (_, part: unknown) => sortFields(part));
  return createHash('sha1').update(text).digest('hex');
}

/** Formats the key that a number stands for. */
export function formatExtraKey(index: number): string {
  return `k-extra-${index}-${index}-${index}`;
}

/** Formats the name of the route that a number stands for. */
export function formatExtraRoute(index: number): string {
  return `extra-${index}`;
}

function listRoutes({version, content}: DocumentPlan): readonly SiteRoute[] {
  return [
    ...ROUTE_KINDS.map(kind => createRoute(kind, kind, `s-${kind}`)),
    {
      ...createRoute(MOVING_ROUTE, 'safe', content.movingService),
      timeoutMs: computeTimeout(version),
    },
    ...content.extraRoutes.map(index =>
      createRoute(formatExtraRoute(index), 'safe', FIXED_SERVICE),
    ),
    ...(content.hasRefusedRoute
      ? [createRoute(REFUSED_ROUTE, 'safe', FIXED_SERVICE)]
      : []),
  ];
}

function createFiller({version, filler}: DocumentPlan): {
  readonly routes: readonly SiteRoute[];
  readonly organisations: readonly SiteOrganisation[];
} {
  switch (filler.kind) {
    case 'none':
      return {routes: [], organisations: []};
    case 'routes':
      return {
        routes: Array.from({length: filler.count}, (_, index) => ({
          ...createRoute(`filler-${index}`, 'safe', FIXED_SERVICE),
          timeoutMs: computeTimeout(version + index),
        })),
        organisations: [],
      };
    case 'organisations':
      return {
        routes: [],
        organisations: createOrganisations(version, filler.kilobytes),
      };
    default:
      return assertNever(filler, 'createFiller');
  }
}

function createOrganisations(
  version: number,
  kilobytes: number,
): readonly SiteOrganisation[] {
  const count = Math.ceil((kilobytes * BYTES_PER_KILOBYTE) / FILLER_BYTES);
  return Array.from({length: count}, (_, organisation) => ({
    name: `filler-${organisation}`,
    keys: Array.from({length: KEYS_PER_FILLER}, (_, index) =>
      `${version}-${organisation}-${index}-`.padEnd(FILLER_KEY_BYTES, 'k'),
    ),
  }));
}

function createRoute(
  name: string,
  kind: SiteRouteKind,
  service: string,
): SiteRoute {
  const timeoutMs = isStream(kind) ? STREAM_TIMEOUT_MS : CALL_TIMEOUT_MS;
  return {name, kind, service, timeoutMs};
}

function computeTimeout(number: number): number {
  return CALL_TIMEOUT_MS + (number % TIMEOUT_RANGE_MS);
}

/** Replaces the last byte of a text's first occurrence. */
function replaceByte(bytes: Buffer, text: string): Buffer {
  const end = bytes.indexOf(text) + text.length;
  bytes[end - 1] = NO_UTF8_BYTE;
  return bytes;
}

function sortFields(part: unknown): unknown {
  if (typeof part !== 'object' || part === null || Array.isArray(part)) {
    return part;
  }
  const fields = Object.entries(part);
  return Object.fromEntries(
    fields.sort(([left], [right]) => (left < right ? -1 : 1)),
  );
}
