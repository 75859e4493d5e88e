import type {EntryObservation} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {TierId} from '@gentianshunt/identifiers';

import {
  ENDPOINT_SET,
  formatOrganisationId,
  REQUEST_KIND,
  TIERS,
} from './objects.js';

/** Attributes of an arriving request. */
export interface ArrivalOptions {
  /** Number in the request's identifier. */
  readonly index: number;
  /** Index of the organisation, 0 by default. */
  readonly organisation?: number;
  /** Index of the tier, 0 (the default) for the highest. */
  readonly tier?: number;
}

/** Creates the observation that an idempotent request has arrived. */
export function createArrival(options: ArrivalOptions): EntryObservation {
  const tier = TIERS[options.tier ?? 0]!;
  return {
    kind: 'requestReceived',
    attributes: {
      id: toIdentifier(`request-${options.index}`),
      organisation: toIdentifier(
        formatOrganisationId(options.organisation ?? 0),
      ),
      tier: toIdentifier<TierId>(tier),
      set: toIdentifier(ENDPOINT_SET),
      kind: toIdentifier(REQUEST_KIND),
      claim: null,
      promptTokens: 500,
      maxTokens: 100,
      prefix: null,
    },
  };
}

/** The parts of an endpoint's announcement that tests vary. */
export interface ContactOptions {
  /** Number in the endpoint's identifier, which sets its port; 0 by default. */
  readonly index?: number;
  readonly incarnation?: string;
  readonly concurrency?: number;
  readonly leaving?: boolean;
}

/** Creates the observation that an endpoint has announced itself. */
export function createContact(
  options: ContactOptions = {},
): Extract<EntryObservation, {readonly kind: 'endpointContact'}> {
  const index = options.index ?? 0;
  return {
    kind: 'endpointContact',
    announcement: {
      endpoint: toIdentifier(`engine-${index}`),
      incarnation: toIdentifier(options.incarnation ?? 'start-1'),
      set: toIdentifier(ENDPOINT_SET),
      domain: toIdentifier('a'),
      url: `http://127.0.0.1:${index + 1}`,
      concurrency: options.concurrency ?? 4,
      checksFencing: false,
      load: null,
      leaving: options.leaving ?? false,
    },
  };
}
