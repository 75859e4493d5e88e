export * from './checkSettings.js';
export * from './exitCodes.js';
