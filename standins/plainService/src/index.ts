export * from './plainService.js';
