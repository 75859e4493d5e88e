export * from './logEvent.js';
export * from './logger.js';
