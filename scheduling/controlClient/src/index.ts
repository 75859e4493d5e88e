export * from './applyDirectoryUpdate.js';
export * from './commandController.js';
export * from './controlController.js';
export * from './countController.js';
export * from './queryController.js';
export * from './refusalController.js';
export * from './replacementController.js';
export * from './serviceController.js';
