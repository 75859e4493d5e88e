export * from './board.js';
export * from './boardErrors.js';
export * from './compareBy.js';
export * from './controller.js';
export * from './controlLoop.js';
export * from './iterateWhile.js';
export * from './section.js';
export * from './write.js';
