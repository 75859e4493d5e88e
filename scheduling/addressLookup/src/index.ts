export * from './lookupController.js';
export * from './pickAddresses.js';
