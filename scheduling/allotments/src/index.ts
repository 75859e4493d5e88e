export * from './allotmentLimit.js';
export * from './decideAsk.js';
export * from './findKeeper.js';
export * from './keeperController.js';
export * from './toReportedUses.js';
export * from './useController.js';
