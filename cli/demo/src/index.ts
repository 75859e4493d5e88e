export * from './objects.js';
export * from './operator.js';
