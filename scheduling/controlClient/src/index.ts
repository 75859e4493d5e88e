export * from './applyDirectoryUpdate.js';
export * from './commandController.js';
export * from './controlController.js';
export * from './countController.js';
export {
  HEARTBEAT_INTERVAL_MS,
  MAX_HEARTBEATS_PER_SECOND,
} from './heartbeats.js';
export * from './queryController.js';
export * from './refusalController.js';
export * from './replacementController.js';
export * from './serviceController.js';
