export * from './assignmentController.js';
export * from './claimAnswers.js';
export * from './inForce.js';
export {ASSIGNMENT_RETRY_MS, MAX_ASSIGNMENTS_PER_TURN} from './leaderChoice.js';
export * from './leaderStatus.js';
export * from './pendingReplies.js';
export * from './proposalController.js';
export * from './replyController.js';
export * from './sessionController.js';
