export * from './entryd.js';
