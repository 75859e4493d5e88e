export * from './controlHost.js';
export * from './controlMessages.js';
export * from './dataFolderRefusedError.js';
export * from './entryHost.js';
export * from './entryMessages.js';
export * from './recoveringMember.js';
export * from './loadMonitor.js';
export * from './observationCounts.js';
