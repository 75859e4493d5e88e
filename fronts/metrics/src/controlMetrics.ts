import {collectDefaultMetrics, Registry} from 'prom-client';

import {addControlGauges} from './controlGauges.js';
import type {ScrapedMember} from './controlGauges.js';
import type {MetricsFormatter} from './metricsFormatter.js';

/** Creates the metrics of a control daemon; each scrape reads its board. */
export function createControlMetrics(member: ScrapedMember): MetricsFormatter {
  const registry = new Registry();
  collectDefaultMetrics({register: registry});
  addControlGauges(registry, () => member);
  return {
    format: () => registry.metrics(),
    contentType: registry.contentType,
  };
}
