export * from './consensusController.js';
export * from './memberChangeController.js';
export * from './timing.js';
