export * from './decisionLog.js';
export * from './heartbeatCounts.js';
export {LEASE_MISSING_INTERVAL_MS} from './statusDecisions.js';
