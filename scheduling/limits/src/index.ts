export * from './allowance.js';
export * from './limitQueues.js';
export * from './rateBucket.js';
export * from './slidingWindow.js';
