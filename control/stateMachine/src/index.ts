export * from './stateMachineController.js';
