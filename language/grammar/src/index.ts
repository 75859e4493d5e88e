export * from './languageIssue.js';
export * from './parseText.js';
export * from './printStatement.js';
export * from './readText.js';
export * from './syntaxTree.js';
