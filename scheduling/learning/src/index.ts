export * from './patienceController.js';
export * from './rateController.js';
