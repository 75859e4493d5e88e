export * from './configurationGauges.js';
export * from './controlGauges.js';
export * from './controlMetrics.js';
export * from './entryMetrics.js';
export * from './healthRoutes.js';
export * from './heartbeatCounters.js';
export * from './metricsFormatter.js';
