export * from './burnReport.js';
export * from './burnWindow.js';
export * from './formatBurnHtml.js';
export * from './formatBurnText.js';
