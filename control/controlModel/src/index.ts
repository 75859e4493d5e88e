export * from './claimId.js';
export * from './observation.js';
export * from './order.js';
export * from './role.js';
export * from './sections.js';
