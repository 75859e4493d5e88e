export * from './admitRequest.js';
export * from './claims.js';
export * from './endRequest.js';
export * from './lifecycleController.js';
export * from './claimCompletions.js';
export * from './streams.js';
