export * from './entryNode.js';
