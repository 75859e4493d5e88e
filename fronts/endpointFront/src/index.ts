export * from './endpointFront.js';
export * from './endpointOrderClient.js';
