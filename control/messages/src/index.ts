export * from './consensusMessage.js';
export * from './controlMessage.js';
export * from './logEntry.js';
export * from './serviceCount.js';
