export * from './controlLog.js';
