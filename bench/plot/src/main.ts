import {readFileSync, writeFileSync} from 'node:fs';

import {parse, View} from 'vega';

import {createComparisonChart} from './comparisonChart.js';
import type {ChartRow} from './comparisonChart.js';

/** The part of a bench result that is drawn. */
interface BenchResult {
  readonly policies: readonly {
    readonly policy: string;
    readonly summary: {
      readonly tiers: readonly {
        readonly rank: number;
        readonly goodput: number;
      }[];
    };
  }[];
}

const USAGE_EXIT_CODE = 2;

const [target, ...sources] = process.argv.slice(2);
if (target === undefined || sources.length === 0) {
  console.error('usage: bench:plot -- SVG_FILE RESULT_FILE...');
  process.exit(USAGE_EXIT_CODE);
}
const rows = sources.flatMap(readRows);
const view = new View(parse(createComparisonChart(rows, sources.length)), {
  renderer: 'none',
});
writeFileSync(target, await view.toSVG());
console.log(
  JSON.stringify({bench: 'plot', seed: null, metrics: {}, file: target}),
);

/** Reads the result from the last line of a bench's output. */
function readRows(file: string): readonly ChartRow[] {
  const lines = readFileSync(file, 'utf8').trim().split('\n');
  const result = JSON.parse(lines[lines.length - 1]!) as BenchResult;
  return result.policies.flatMap(({policy, summary}) =>
    summary.tiers.map(({rank, goodput}) => ({
      policy,
      tier: `tier ${rank}`,
      goodput,
    })),
  );
}
