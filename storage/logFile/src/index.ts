export {appendAll, replaceFile} from './atomicFile.js';
export * from './clearStorageFolder.js';
export * from './logFile.js';
export * from './logFileErrors.js';
export * from './readFolder.js';
export * from './storageFolder.js';
