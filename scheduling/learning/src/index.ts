export * from './healthController.js';
export * from './patienceController.js';
export * from './rateController.js';
