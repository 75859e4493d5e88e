export * from './controld.js';
