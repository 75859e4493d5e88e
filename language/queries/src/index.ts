export * from './formatResult.js';
export * from './runQuery.js';
export * from './table.js';
export * from './tables.js';
