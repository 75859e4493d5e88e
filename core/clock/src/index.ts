export * from './clock.js';
export * from './lease.js';
export * from './manualClock.js';
