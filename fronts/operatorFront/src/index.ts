export * from './commandRoute.js';
export * from './operatorAccess.js';
export * from './operatorFront.js';
export * from './operatorScope.js';
export * from './queryRoute.js';
