export * from './routeCall.js';
export * from './routingTable.js';
