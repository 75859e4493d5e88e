export * from './decisionLogController.js';
