export * from './controlNode.js';
