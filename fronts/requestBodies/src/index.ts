export * from './addBodyParser.js';
export * from './memoryGate.js';
export * from './readRequestBody.js';
export * from './recordReadBytes.js';
export {BodyReleasedError, createEmptyBody} from './requestBody.js';
export type {RequestBody} from './requestBody.js';
