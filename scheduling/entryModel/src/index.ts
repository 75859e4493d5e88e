export * from './endpoint.js';
export * from './entryController.js';
export * from './exchange.js';
export * from './iterateSet.js';
export * from './observation.js';
export * from './order.js';
export * from './request.js';
export * from './sections.js';
