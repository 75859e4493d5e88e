export * from './schedulerError.js';
