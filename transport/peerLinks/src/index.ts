export * from './peerErrors.js';
export * from './peerLinks.js';
export * from './protocol.js';
