export * from './resolveCall.js';
export * from './routingTable.js';
