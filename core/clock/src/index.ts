export * from './clock.js';
export * from './manualClock.js';
