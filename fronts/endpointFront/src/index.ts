export * from './endpointFront.js';
