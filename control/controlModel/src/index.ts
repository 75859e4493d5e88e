export * from './claimId.js';
export * from './commandNumbers.js';
export * from './observation.js';
export * from './order.js';
export * from './role.js';
export * from './sections.js';
export * from './sessionRecords.js';
export * from './stateRecords.js';
