export * from './benchOutput.js';
