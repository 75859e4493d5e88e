import {findObject} from '@gentianshunt/configuration';
import type {
  ConfigurationObject,
  ConfigurationTable,
  ObjectCommand,
} from '@gentianshunt/configuration';
import type {
  EndpointAnnouncement,
  RequestAttributes,
} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {TierId} from '@gentianshunt/identifiers';
import type {OperatorCommand} from '@gentianshunt/messages';

import type {CallPlan} from './caller.js';
import type {FakeProcess} from './fakeProcess.js';

/** Weight of the gold tier before any command of a cell. */
export const INITIAL_WEIGHT = 1;

/** Requests that an endpoint runs at once; enough for the load of a cell. */
const CONCURRENCY = 6;

/** Creates the command that puts the configuration objects of every cell. */
export function createSetupCommand(number: number): OperatorCommand {
  const tiers = [toIdentifier<never>('gold'), toIdentifier<never>('bronze')];
  const objects: readonly ConfigurationObject[] = [
    createTier('gold', 1, INITIAL_WEIGHT),
    createTier('bronze', 2, 1),
    {
      kind: 'organisation',
      id: toIdentifier('lab'),
      revision: 0,
      weight: 1,
      tiers,
      limits: {maxRunning: null, maxRequestsPerSecond: null},
    },
    createSet('drafts', {kind: 'model', model: 'draft'}),
    createSet('registry', {kind: 'plain', service: 'registry'}),
    createKind('draft', true),
    createKind('issue', false),
  ];
  return createCommand(number, 'setup', objects.map(createPut));
}

/** Creates a command that sets the weight of the gold tier. */
export function createWeightCommand(
  number: number,
  operator: string,
  weight: number,
): OperatorCommand {
  const put = createPut(createTier('gold', 1, weight));
  return createCommand(number, operator, [put], `weight ${weight}`);
}

function createCommand(
  number: number,
  operator: string,
  commands: readonly ObjectCommand[],
  digest = 'setup',
): OperatorCommand {
  return {number, operator: toIdentifier(operator), digest, commands};
}

function createPut(object: ConfigurationObject): ObjectCommand {
  return {kind: 'put', object, expectedRevision: null};
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
    firstTokenTargetMs: 1_000,
    objective: 0.95,
  };
}

function createSet(
  id: string,
  service: Extract<
    ConfigurationObject,
    {readonly kind: 'endpointSet'}
  >['service'],
): ConfigurationObject {
  const region = toIdentifier<never>('local');
  return {
    kind: 'endpointSet',
    id: toIdentifier(id),
    revision: 0,
    region,
    service,
  };
}

function createKind(id: string, idempotent: boolean): ConfigurationObject {
  return {
    kind: 'requestKind',
    id: toIdentifier(id),
    revision: 0,
    idempotent,
    weight: 1,
  };
}

/** Reads the weight of the gold tier; 0 when there is no such tier. */
export function readWeight(table: ConfigurationTable): number {
  return findObject(table, 'tier', 'gold')?.weight ?? 0;
}

/** Creates the attributes that an entry reads from a call. */
export function createRequestAttributes(
  plan: CallPlan,
  request: string,
): RequestAttributes {
  const hasKey = plan.key !== null;
  return {
    id: toIdentifier(request),
    organisation: toIdentifier('lab'),
    tier: toIdentifier<TierId>(plan.tier),
    set: toIdentifier(hasKey ? 'registry' : 'drafts'),
    kind: toIdentifier(hasKey ? 'issue' : 'draft'),
    claim:
      plan.key === null
        ? null
        : {idempotencyKey: plan.key, digest: `digest of ${plan.name}`},
    promptTokens: 10,
    maxTokens: plan.tokens,
    prefix: null,
  };
}

/** Creates an endpoint's announcement. */
export function createAnnouncement(
  process: FakeProcess,
  set: string,
  leaving: boolean,
): EndpointAnnouncement {
  return {
    endpoint: toIdentifier(process.id),
    incarnation: toIdentifier(`${process.id}.${process.incarnation}`),
    set: toIdentifier(set),
    domain: toIdentifier('a'),
    url: `http://${process.id}`,
    concurrency: CONCURRENCY,
    checksFencing: false,
    load: null,
    leaving,
  };
}
