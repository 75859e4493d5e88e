export * from './boundedBody.js';
export * from './loopMonitor.js';
export * from './manualLoop.js';
export * from './randomIds.js';
export * from './startTimer.js';
export * from './systemClock.js';
export * from './timerTable.js';
