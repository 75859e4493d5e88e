export * from './announcer.js';
export * from './endpointArgs.js';
export * from './engine.js';
export * from './engineServer.js';
export * from './orderRoute.js';
