export * from './addressClient.js';
export * from './callResult.js';
export * from './loadPlan.js';
export * from './runLoad.js';
export * from './summary.js';
