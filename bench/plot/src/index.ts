export * from './comparisonChart.js';
