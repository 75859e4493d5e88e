export * from './callStep.js';
export * from './callProtocol.js';
export * from './callRelay.js';
export {dropHeaders, findHeader, listHeaderValues} from './headers.js';
export * from './listenForCalls.js';
