export * from './admitRequest.js';
export * from './lifecycleController.js';
