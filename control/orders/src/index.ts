export * from './endpointDirective.js';
export * from './issueWait.js';
export * from './orderState.js';
export * from './tokenBucket.js';
