import type {
  ConfigurationObject,
  ObjectCommand,
} from '@gentianshunt/configuration';
import {toIdentifier} from '@gentianshunt/identifiers';

/** Lists the commands that create what the demonstration needs. */
export function createObjects(): readonly ObjectCommand[] {
  const objects: readonly ConfigurationObject[] = [
    createTier('gold', 1, 4),
    createTier('silver', 2, 2),
    createTier('bronze', 3, 1),
    createOrganisation('north-lab', 3),
    createOrganisation('south-lab', 1),
    {
      kind: 'endpointSet',
      id: toIdentifier('drafts'),
      revision: 0,
      region: toIdentifier('local'),
      service: {kind: 'model', model: 'draft-model'},
    },
    {
      kind: 'endpointSet',
      id: toIdentifier('registry'),
      revision: 0,
      region: toIdentifier('local'),
      service: {kind: 'plain', service: 'registry'},
    },
    createKind('draft', true, 2),
    createKind('summary', true, 1),
    createKind('issue-number', false, 3),
  ];
  return objects.map(object => ({
    kind: 'put',
    object,
    expectedRevision: 0,
  }));
}

function createTier(
  id: string,
  rank: number,
  weight: number,
): ConfigurationObject {
  return {
    kind: 'tier',
    id: toIdentifier(id),
    revision: 0,
    rank,
    weight,
    firstTokenTargetMs: 1_100,
    objective: 0.95,
  };
}

function createOrganisation(id: string, weight: number): ConfigurationObject {
  return {
    kind: 'organisation',
    id: toIdentifier(id),
    revision: 0,
    weight,
    tiers: [
      toIdentifier('gold'),
      toIdentifier('silver'),
      toIdentifier('bronze'),
    ],
    limits: {maxRunning: null, maxRequestsPerSecond: null},
  };
}

function createKind(
  id: string,
  idempotent: boolean,
  weight: number,
): ConfigurationObject {
  return {
    kind: 'requestKind',
    id: toIdentifier(id),
    revision: 0,
    idempotent,
    weight,
  };
}
