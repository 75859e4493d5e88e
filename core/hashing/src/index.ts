export * from './hashText.js';
export * from './sortByRendezvous.js';
