export * from './advanceSlots.js';
export * from './allocation.js';
export {REANNOUNCE_MS} from './announcements.js';
export * from './endpointListController.js';
export {
  ENDPOINT_LEASE_MS,
  ENDPOINT_RETENTION_MS,
  MAX_REPLACED_INCARNATIONS,
} from './endpointRecords.js';
export * from './endpointRegistry.js';
export * from './findLeaderAddress.js';
export * from './grantController.js';
export * from './knownLimitController.js';
export * from './leadershipController.js';
export * from './receivedDemandController.js';
