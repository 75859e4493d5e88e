export * from './allowance.js';
export * from './limitLines.js';
export * from './rateBucket.js';
