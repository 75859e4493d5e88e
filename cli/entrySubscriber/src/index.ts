export * from './entrySubscriber.js';
