export * from './consensusController.js';
export * from './timing.js';
