export * from './endpointOrderController.js';
