export * from './arrivalController.js';
export * from './exchangeController.js';
export * from './lineOrder.js';
export * from './localShare.js';
export * from './replyController.js';
export * from './slotController.js';
