export * from './operatorFront.js';
