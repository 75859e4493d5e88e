export * from './assignmentController.js';
export * from './claimAnswers.js';
export * from './inForce.js';
export * from './leaderStatus.js';
export * from './pendingReplies.js';
export * from './proposalController.js';
export * from './replyController.js';
export * from './sessionController.js';
