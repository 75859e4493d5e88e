export * from './entryHarness.js';
export * from './idleMemory.js';
export * from './objects.js';
