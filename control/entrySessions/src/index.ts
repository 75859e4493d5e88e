export * from './proposalController.js';
export * from './replyController.js';
export * from './sessionController.js';
