export * from './logClass.js';
export * from './logEvent.js';
export * from './logger.js';
export * from './logRecord.js';
