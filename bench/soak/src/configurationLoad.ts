import type {Random} from '@gentianshunt/policyBench';

import {drawItem} from './draws.js';

/** How the configuration changes during a run. */
export type ConfigurationLoad =
  /** The schedule alone sends versions, and nobody reads them back. */
  | 'scheduled'
  /** Two operators change it beside the schedule; it is read and probed. */
  | 'operators'
  /** As before, with large documents in series and in storms. */
  | 'largeDocuments';

/** What makes a document large. */
export type DocumentFiller =
  | {readonly kind: 'none'}
  /** Organisations with long keys, all of them new in each version. */
  | {readonly kind: 'organisations'; readonly kilobytes: number}
  /** Routes whose timeouts change with the version. */
  | {readonly kind: 'routes'; readonly count: number};

const CONFIGURATION_LOADS: readonly ConfigurationLoad[] = [
  'scheduled',
  'operators',
  'largeDocuments',
];

const LARGE_FILLERS: readonly DocumentFiller[] = [
  {kind: 'routes', count: 350},
  {kind: 'organisations', kilobytes: 90},
  {kind: 'organisations', kilobytes: 145},
  {kind: 'organisations', kilobytes: 240},
  {kind: 'organisations', kilobytes: 480},
];

/** Draws what makes the documents of a run large. */
export function drawLargeFiller(random: Random): DocumentFiller {
  return drawItem(random, LARGE_FILLERS);
}

/** Parses the name of a load; throws if there is none of that name. */
export function parseConfigurationLoad(text: string): ConfigurationLoad {
  const load = CONFIGURATION_LOADS.find(name => name === text);
  if (load === undefined) {
    throw new Error(
      `unknown load ${text}; one of ${CONFIGURATION_LOADS.join(', ')}`,
    );
  }
  return load;
}
