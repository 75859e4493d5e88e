export * from './readOperatorKeys.js';
export * from './readSettings.js';
export * from './schema.js';
export * from './settingsError.js';
