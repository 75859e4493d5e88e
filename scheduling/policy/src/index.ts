export * from './dispatchOrder.js';
export * from './endpointRate.js';
export * from './endpointFailures.js';
export * from './fairShare.js';
export * from './patience.js';
export * from './requestClass.js';
export * from './shedding.js';
export * from './work.js';
