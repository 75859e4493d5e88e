export * from './accountState.js';
export * from './claims.js';
export * from './memoryPlan.js';
export * from './requestsAhead.js';
