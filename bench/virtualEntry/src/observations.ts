import type {EntryObservation} from '@gentianshunt/entryModel';
import {toIdentifier} from '@gentianshunt/identifiers';
import type {TierId} from '@gentianshunt/identifiers';

import {formatOrganisation, KIND, SET, TIERS} from './objects.js';

/** What tells an arriving request apart. */
export interface ArrivalOptions {
  readonly index: number;
  readonly organisation?: number;
  /** Position of the tier, 0 for the highest. */
  readonly tier?: number;
}

/** Creates the arrival of an idempotent request. */
export function createArrival(options: ArrivalOptions): EntryObservation {
  const tier = TIERS[options.tier ?? 0]!;
  return {
    kind: 'requestReceived',
    facts: {
      id: toIdentifier(`request-${options.index}`),
      organisation: toIdentifier(formatOrganisation(options.organisation ?? 0)),
      tier: toIdentifier<TierId>(tier),
      set: toIdentifier(SET),
      kind: toIdentifier(KIND),
      claim: null,
      promptTokens: 500,
      maxTokens: 100,
      prefix: null,
    },
  };
}

/** What an endpoint announces. */
export interface AnnouncementOptions {
  readonly index?: number;
  readonly incarnation?: string;
  readonly concurrency?: number;
  readonly leaving?: boolean;
}

/** Creates an endpoint's contact with an entry. */
export function createContact(
  options: AnnouncementOptions = {},
): Extract<EntryObservation, {readonly kind: 'endpointContact'}> {
  const index = options.index ?? 0;
  return {
    kind: 'endpointContact',
    announcement: {
      endpoint: toIdentifier(`engine-${index}`),
      incarnation: toIdentifier(options.incarnation ?? 'start-1'),
      set: toIdentifier(SET),
      domain: toIdentifier('a'),
      url: `http://127.0.0.1:${index + 1}`,
      concurrency: options.concurrency ?? 4,
      checksFencing: false,
      load: null,
      leaving: options.leaving ?? false,
    },
  };
}
