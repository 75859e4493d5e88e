import type {ConfigurationObject} from '@gentianshunt/configuration';
import type {
  ControlToEntry,
  EntryAddress,
  EntryDirectory,
  EntryToControl,
} from '@gentianshunt/messages';
import type {
  EndpointSetId,
  FailureDomainId,
  NodeId,
  OrganisationId,
  RegionId,
  RequestKindId,
  TierId,
} from '@gentianshunt/identifiers';

import {FIRST_TOKEN_TARGETS_MS} from './baseline.js';
import {TIER_IDS} from './profile.js';
import type {Profile} from './profile.js';

/**
 * Stands in for the control daemons: answers the heartbeats of the entries with
 * the configuration of a profile.
 */
export interface FakeControl {
  /** Creates the reply to a message; `undefined` if it needs none. */
  answer(message: EntryToControl): ControlToEntry | undefined;
  /** Assigns every set to another entry under the next epoch. */
  moveLeadership(node: string): void;
}

/** Node name of the fake control daemon. */
export const CONTROL_NODE = 'control1' as NodeId;
/** All nodes share one address, since nothing is sent over a network. */
const ADDRESS = {host: '127.0.0.1', port: 1};
const LEASE_MS = 3_000;
const OBJECTIVE = 0.99;
const TIER_WEIGHTS = [4, 2, 1] as const;

/** Creates a fake control daemon; the profile's first entry leads all sets. */
export function createFakeControl(profile: Profile): FakeControl {
  const sets = [...new Set(profile.engines.map(engine => engine.set))];
  const baseObjects = listObjects(profile, sets);
  const directory: EntryDirectory = {
    version: {term: 1, number: 1, digest: 1},
    entries: profile.entries.map(node => ({
      address: createEntryAddress(node),
      draining: false,
    })),
  };
  let version = 1;
  let leaders = createLeaderships(sets, profile.entries[0]!, 1);
  const answer = (message: EntryToControl): ControlToEntry | undefined => {
    if (message.kind !== 'entryHeartbeat') {
      return undefined;
    }
    const objects =
      message.version === 0
        ? [...baseObjects, ...leaders]
        : message.version < version
          ? leaders
          : [];
    return {
      kind: 'configurationUpdate',
      sequence: message.sequence,
      incarnation: message.incarnation,
      fromVersion: message.version,
      version,
      changes: objects.map(object => ({kind: 'put', object})),
      directory:
        message.directoryVersion.number === 0
          ? {kind: 'replace', directory}
          : null,
      leaseMs: LEASE_MS,
    };
  };
  return {
    answer,
    moveLeadership: node => {
      version += 1;
      leaders = createLeaderships(sets, node, version);
    },
  };
}

/** Creates the address of an entry. */
export function createEntryAddress(node: string): EntryAddress {
  return {
    node: node as NodeId,
    region: 'region1' as RegionId,
    domain: 'domain1' as FailureDomainId,
    peer: ADDRESS,
    http: ADDRESS,
  };
}

function createLeaderships(
  sets: readonly string[],
  node: string,
  epoch: number,
): readonly ConfigurationObject[] {
  return sets.map(set => ({
    kind: 'setLeadership',
    id: set as EndpointSetId,
    revision: epoch,
    node: node as NodeId,
    epoch,
  }));
}

function listObjects(
  profile: Profile,
  sets: readonly string[],
): readonly ConfigurationObject[] {
  const tiers = TIER_IDS.map((id, index): ConfigurationObject => ({
    kind: 'tier',
    id: id as string as TierId,
    revision: 1,
    rank: index + 1,
    weight: TIER_WEIGHTS[index]!,
    firstTokenTargetMs: FIRST_TOKEN_TARGETS_MS[index]!,
    objective: OBJECTIVE,
  }));
  const organisations = profile.organisations.map(
    ({id}): ConfigurationObject => ({
      kind: 'organisation',
      id: id as OrganisationId,
      revision: 1,
      weight: 1,
      tiers: TIER_IDS.map(tier => tier as string as TierId),
      limits: {maxRunning: null, maxRequestsPerSecond: null},
    }),
  );
  const kinds = profile.kinds.map(
    ({id, goodputWeight}): ConfigurationObject => ({
      kind: 'requestKind',
      id: id as RequestKindId,
      revision: 1,
      idempotent: true,
      weight: goodputWeight,
    }),
  );
  const endpointSets = sets.map((id): ConfigurationObject => ({
    kind: 'endpointSet',
    id: id as EndpointSetId,
    revision: 1,
    region: 'region1' as RegionId,
    service: {kind: 'model', model: id},
  }));
  return [...tiers, ...organisations, ...kinds, ...endpointSets];
}
