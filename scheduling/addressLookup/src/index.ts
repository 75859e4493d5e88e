export * from './lookupController.js';
export * from './selectAddresses.js';
