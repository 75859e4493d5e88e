import {listQuotaSets} from '@gentianshunt/configuration';
import type {
  ConfigurationObject,
  TokenQuota,
} from '@gentianshunt/configuration';
import {QUOTA_ACCOUNT_COUNT} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {NodeId} from '@gentianshunt/identifiers';
import type {ControlToEntry} from '@gentianshunt/messages';

import type {EntryNode} from '../src/index.js';

const LEASE_MS = 3_000;
/** The set that the entries of the fixture serve. */
export const SET = 'drafts';
/** Its tiers, the first served first. */
export const TIERS = ['gold', 'silver', 'bronze'];

/** What the configuration of the fixture depends on. */
export interface ConfigurationOptions {
  readonly count: number;
  readonly tokens: TokenQuota | null;
}

/** Formats the node of an entry. */
export function formatNode(entry: number): NodeId {
  return toIdentifier(`entry-${entry}`);
}

/** Lists the configuration; two entries own an account each. */
export function listObjects(
  {tokens, count}: ConfigurationOptions,
  leader: number,
  epoch: number,
): readonly ConfigurationObject[] {
  const base = {revision: 1};
  const quotaSets = listQuotaSets(toIdentifier('local')).slice(
    0,
    QUOTA_ACCOUNT_COUNT,
  );
  return [
    ...TIERS.map((tier, index): ConfigurationObject => ({
      ...base,
      kind: 'tier',
      id: toIdentifier(tier),
      rank: 2 * (index + 1),
      weight: 1,
      firstTokenTargetMs: 1_000,
      objective: 0.9,
    })),
    {
      ...base,
      kind: 'organisation',
      id: toIdentifier('lab'),
      weight: 1,
      tiers: TIERS.map(tier => toIdentifier(tier)),
      limits: {
        maxRunning: null,
        maxRequestsPerSecond: null,
        ...(tokens === null ? {} : {tokens}),
      },
    },
    {
      ...base,
      kind: 'endpointSet',
      id: toIdentifier(SET),
      region: toIdentifier('local'),
      service: {kind: 'model', model: 'm'},
    },
    {
      ...base,
      kind: 'setLeadership',
      id: toIdentifier(SET),
      node: formatNode(leader),
      epoch,
    },
    ...quotaSets,
    ...quotaSets.map(({id}, index): ConfigurationObject => ({
      ...base,
      kind: 'setLeadership',
      id,
      node: formatNode((leader + index) % count),
      epoch,
    })),
    {
      ...base,
      kind: 'route',
      id: toIdentifier('r1'),
      host: 'a.example',
      pathPrefix: '/',
      requestKind: toIdentifier('draft'),
      tier: toIdentifier(TIERS[0]!),
      shares: [{set: toIdentifier(SET), weight: 1}],
      maxAttempts: 8,
      timeoutMs: 5_000,
      objectiveMs: 400,
      patienceMs: 3_000,
      isAnonymous: false,
      isResumable: true,
      isStream: true,
    },
    {
      ...base,
      kind: 'requestKind',
      id: toIdentifier('draft'),
      idempotent: true,
      weight: 1,
    },
  ];
}

/** Creates the control leader's answer to the latest heartbeat of an entry. */
export function createUpdate(
  {view}: EntryNode,
  entries: number,
  version: number,
  objects: readonly ConfigurationObject[],
  absent: ReadonlySet<number> = new Set(),
): ControlToEntry {
  const listed = Array.from({length: entries}, (_, index) => index).filter(
    index => !absent.has(index),
  );
  return {
    kind: 'configurationUpdate',
    sequence: view.control.lastSequence,
    incarnation: view.identity.incarnation,
    fromVersion: 0,
    version,
    changes: objects.map(object => ({kind: 'put', object})),
    directory: {
      kind: 'replace',
      directory: {
        version: {term: 1, number: 1, digest: 1},
        entries: listed.map(index => ({
          address: createAddress(index),
          draining: false,
        })),
      },
    },
    leaseMs: LEASE_MS,
  };
}

/** Creates the address of an entry. */
export function createAddress(entry: number) {
  const address = {host: '127.0.0.1', port: 1 + entry};
  return {
    node: formatNode(entry),
    domain: toIdentifier<never>('a'),
    region: toIdentifier<never>('local'),
    peer: address,
    http: address,
  };
}

/** Reads the entry of a node. */
export function readEntry(node: NodeId): number {
  return Number(node.slice('entry-'.length));
}
