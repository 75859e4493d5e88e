export * from './hashText.js';
