export * from './operatorClientErrors.js';
export * from './runCommandText.js';
export * from './runQueryText.js';
export * from './sendToEntry.js';
