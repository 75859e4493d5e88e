export * from './compileCommands.js';
export * from './help.js';
export * from './objectFields.js';
export * from './outcome.js';
export * from './readFields.js';
