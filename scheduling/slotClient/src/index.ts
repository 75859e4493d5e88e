export * from './arrivalController.js';
export * from './demandReportingController.js';
export * from './dispatchOrder.js';
export * from './fallbackCapacity.js';
export * from './grantReplyController.js';
export * from './slotController.js';
export * from './withdrawalController.js';
