export * from './confirmationController.js';
export * from './decisionLogController.js';
export * from './snapshotBytes.js';
export * from './logUsageController.js';
export * from './releaseController.js';
export * from './snapshotController.js';
export * from './startController.js';
