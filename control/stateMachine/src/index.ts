export * from './applyClaim.js';
export * from './applyCommand.js';
export * from './applyCounts.js';
export * from './applyOrder.js';
export * from './changeConfiguration.js';
export * from './stateDraft.js';
export * from './stateMachineController.js';
