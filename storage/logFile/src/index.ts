export * from './logFile.js';
export * from './logFileErrors.js';
export * from './record.js';
