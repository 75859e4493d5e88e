export * from './idleMemory.js';
export * from './operator.js';
