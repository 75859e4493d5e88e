export * from './commandController.js';
export * from './controlController.js';
export * from './serviceController.js';
