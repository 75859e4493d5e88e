export * from './crashRecords.js';
export * from './decideSuspects.js';
export * from './findPromptRefusal.js';
export * from './promptEvidenceController.js';
export * from './quarantineController.js';
export * from './quarantineExchange.js';
export * from './quarantineRules.js';
export * from './soundUse.js';
