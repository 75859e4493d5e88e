export * from './platformWorker.js';
export * from './siteCalls.js';
export * from './siteContent.js';
export * from './siteDocument.js';
export * from './siteSettings.js';
export * from './siteWorker.js';
