export * from './arrivalController.js';
export * from './exchangeController.js';
export * from './replyController.js';
export * from './slotController.js';
