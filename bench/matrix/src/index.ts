export * from './cells.js';
export * from './faultyTraces.js';
export * from './invariants.js';
export * from './runCell.js';
export * from './steps.js';
export * from './trace.js';
