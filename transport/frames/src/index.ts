export * from './frameErrors.js';
export * from './frames.js';
