export * from './childProcess.js';
export * from './deployment.js';
