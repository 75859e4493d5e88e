export * from './entryMetrics.js';
