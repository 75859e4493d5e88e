export * from './brokenAnswerController.js';
