export * from './readSettings.js';
export * from './schema.js';
export * from './settingsError.js';
