export * from './callerFront.js';
export * from './problem.js';
