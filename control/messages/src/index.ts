export * from './consensusMessage.js';
export * from './controlMessage.js';
export * from './logEntry.js';
export * from './recentCount.js';
export * from './membership.js';
export * from './payloadBytes.js';
export * from './snapshot.js';
export * from './serviceCount.js';
