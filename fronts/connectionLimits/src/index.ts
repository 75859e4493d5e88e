export * from './connectionLimiter.js';
export * from './limitConnection.js';
