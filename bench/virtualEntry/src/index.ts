export * from './fakeControl.js';
export * from './objects.js';
export * from './observations.js';
export * from './virtualEntries.js';
export * from './virtualTime.js';
