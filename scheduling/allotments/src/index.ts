export * from './allotmentLimit.js';
export * from './findKeeper.js';
export * from './keeperController.js';
