export * from './allocation.js';
export * from './endpointListController.js';
export * from './endpointRegistry.js';
export * from './findLeaderAddress.js';
export * from './grantController.js';
export * from './leadershipController.js';
export * from './receivedDemandController.js';
export * from './advanceSlots.js';
