export * from './answerBounds.js';
export * from './abandonAnswer.js';
export * from './callerFront.js';
export * from './endpointConnector.js';
export * from './endpointProbe.js';
export {createEventSplitter, MAX_EVENT_BYTES} from './eventSplitter.js';
export * from './problem.js';
export * from './hasDisconnected.js';
