export * from './selectAddresses.js';
