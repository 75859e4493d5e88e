export * from './configuration.js';
export * from './operator.js';
