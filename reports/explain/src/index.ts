export * from './explainRequest.js';
export * from './failureCause.js';
export * from './formatExplanation.js';
export * from './logLine.js';
export * from './summarizeFailures.js';
