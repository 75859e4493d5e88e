export * from './allowance.js';
export * from './limitLines.js';
export * from './rateBucket.js';
export * from './slidingWindow.js';
