// Draws results of the policy bench as an SVG chart of their mean goodput.
import {readFileSync, writeFileSync} from 'node:fs';

import {parse, View} from 'vega';

import {createComparisonChart} from './comparisonChart.js';
import type {ChartRow} from './comparisonChart.js';

/** The fields of a policy bench's result that the chart shows. */
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

const [svgFile, ...resultFiles] = process.argv.slice(2);
if (svgFile === undefined || resultFiles.length === 0) {
  console.error('usage: bench:plot -- SVG_FILE RESULT_FILE...');
  process.exit(USAGE_EXIT_CODE);
}
const rows = resultFiles.flatMap(readRows);
const view = new View(parse(createComparisonChart(rows, resultFiles.length)), {
  renderer: 'none',
});
writeFileSync(svgFile, await view.toSVG());
console.log(
  JSON.stringify({bench: 'plot', seed: null, metrics: {}, file: svgFile}),
);

/** Reads a bench's result, which is the last line of its output. */
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
