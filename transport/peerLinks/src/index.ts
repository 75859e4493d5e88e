export {MAX_MESSAGE_BYTES} from './outgoingMessage.js';
export {PING_INTERVAL_MS} from './link.js';
export * from './peerErrors.js';
export * from './peerLinks.js';
export * from './protocol.js';
