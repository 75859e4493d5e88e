export * from './platformWorker.js';
