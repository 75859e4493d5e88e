export * from './idleMemory.js';
