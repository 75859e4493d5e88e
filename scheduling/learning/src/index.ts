export * from './healthController.js';
export * from './limitController.js';
export * from './patienceController.js';
export * from './rateController.js';
export * from './reachController.js';
