export * from './acceptQueue.js';
export * from './connectionLimiter.js';
export * from './limitConnection.js';
