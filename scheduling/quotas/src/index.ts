export * from './quotaLimit.js';
export * from './decideQuotaRequest.js';
export * from './findQuotaOwner.js';
export * from './quotaOwnerController.js';
export * from './usageReport.js';
export * from './usageReportController.js';
