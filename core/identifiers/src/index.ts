export * from './identifiers.js';
