export * from './answerBounds.js';
export * from './callerFront.js';
export {createEventSplitter, MAX_EVENT_BYTES} from './eventSplitter.js';
export * from './problem.js';
export * from './hasDisconnected.js';
