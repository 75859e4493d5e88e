export * from './endCause.js';
export * from './processState.js';
export * from './retry.js';
export * from './runProcess.js';
export * from './signals.js';
export * from './startSteps.js';
export * from './uncaughtError.js';
