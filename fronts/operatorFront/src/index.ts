export * from './commandRoute.js';
export * from './operatorAccess.js';
export * from './operatorFront.js';
export * from './operatorFrontOptions.js';
export * from './operatorScope.js';
export * from './progressWaiters.js';
export * from './queryControl.js';
export * from './queryRoute.js';
