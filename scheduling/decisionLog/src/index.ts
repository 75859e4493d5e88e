export * from './decisionLog.js';
export {LEASE_MISSING_INTERVAL_MS} from './statusDecisions.js';
