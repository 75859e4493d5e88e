export * from './callers.js';
export * from './startDeployment.js';
