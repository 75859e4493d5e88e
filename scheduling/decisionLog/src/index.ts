export * from './decisionLog.js';
