export * from './entryWire.js';
export * from './wireErrors.js';
