export * from './crashRecords.js';
export * from './decideSuspects.js';
export * from './findQuarantineRefusal.js';
export * from './evidenceController.js';
export * from './quarantineController.js';
export * from './quarantineExchange.js';
export * from './quarantineRules.js';
export * from './soundUse.js';
