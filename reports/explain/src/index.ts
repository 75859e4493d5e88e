export * from './createExplanation.js';
export * from './failureCause.js';
export * from './formatExplanation.js';
export * from './logLine.js';
export * from './countFailures.js';
export * from './formatRelease.js';
export * from './releaseExplanation.js';
