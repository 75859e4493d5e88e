export * from './acceptQueue.js';
export * from './acceptMonitor.js';
export * from './connectionLimiter.js';
export * from './limitConnection.js';
