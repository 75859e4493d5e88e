import type {
  ConfigurationObject,
  EndpointService,
} from '@gentianshunt/configuration';
import {toIdentifier} from '@gentianshunt/identifiers';

/** The tiers of the tests and benches, highest first. */
export const TIERS = ['gold', 'silver', 'bronze'] as const;
/** The only endpoint set of the tests and benches. */
export const ENDPOINT_SET = 'drafts';
/** The only request kind of the tests and benches. */
export const REQUEST_KIND = 'draft';

/** Parameters of a generated configuration. */
export interface ConfigurationOptions {
  /** Number of organisations. */
  readonly organisations: number;
  /**
   * The node that leads the set; `null` leaves the leadership out of the
   * configuration, so that the control log assigns it.
   */
  readonly leader: string | null;
  /** Epoch of the leadership; 1 by default. */
  readonly epoch?: number;
  /** What the endpoints of the set run; a model by default. */
  readonly service?: EndpointService;
}

/**
 * Creates a configuration: tiers, organisations, an endpoint set, a request
 * kind and, if `leader` is given, the leadership of the set.
 */
export function createConfigurationObjects(
  options: ConfigurationOptions,
): readonly ConfigurationObject[] {
  const organisations = Array.from(
    {length: options.organisations},
    (_, index) => createOrganisation(index),
  );
  return [
    ...TIERS.map(createTier),
    ...organisations,
    {
      kind: 'endpointSet',
      id: toIdentifier(ENDPOINT_SET),
      revision: 0,
      region: toIdentifier('local'),
      service: options.service ?? {kind: 'model', model: ENDPOINT_SET},
    },
    {
      kind: 'requestKind',
      id: toIdentifier(REQUEST_KIND),
      revision: 0,
      idempotent: true,
      weight: 1,
    },
    ...(options.leader === null
      ? []
      : [createLeadership(options.leader, options.epoch ?? 1)]),
  ];
}

function createTier(id: string, index: number): ConfigurationObject {
  return {
    kind: 'tier',
    id: toIdentifier(id),
    revision: 0,
    rank: index + 1,
    weight: TIERS.length - index,
    firstTokenTargetMs: 1_100,
    objective: 0.95,
  };
}

/** Formats the identifier of the organisation with an index. */
export function formatOrganisationId(index: number): string {
  return `organisation-${index}`;
}

function createOrganisation(index: number): ConfigurationObject {
  return {
    kind: 'organisation',
    id: toIdentifier(formatOrganisationId(index)),
    revision: 0,
    weight: 1,
    tiers: TIERS.map(tier => toIdentifier(tier)),
    limits: {maxRunning: null, maxRequestsPerSecond: null},
  };
}

function createLeadership(node: string, epoch: number): ConfigurationObject {
  return {
    kind: 'setLeadership',
    id: toIdentifier(ENDPOINT_SET),
    revision: 0,
    node: toIdentifier(node),
    epoch,
  };
}
