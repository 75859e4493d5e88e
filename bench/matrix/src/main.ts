#!/usr/bin/env node
import {defineCommand, runMain} from 'citty';

import {formatCell, listCells} from './cells.js';
import {INVARIANTS} from './invariants.js';
import {countVerifiedCheckers} from './faultyTraces.js';
import {runCell} from './runCell.js';

const command = defineCommand({
  meta: {
    name: 'matrix',
    description: 'Injects every fault at every step and checks the invariants.',
  },
  args: {
    list: {type: 'boolean', description: 'Print the cells and run none'},
    only: {
      type: 'string',
      description: 'Run only cells whose name contains this text',
    },
  },
  run: ({args}) => {
    const wanted = args.only ?? '';
    const cells = listCells().filter(cell => formatCell(cell).includes(wanted));
    if (args.list === true) {
      for (const cell of cells) {
        const reason = cell.notCoveredReason;
        console.log(
          reason === null
            ? formatCell(cell)
            : `${formatCell(cell)} (not covered: ${reason})`,
        );
      }
      return;
    }
    printResults(cells);
  },
});

function printResults(cells: ReturnType<typeof listCells>): void {
  const counts = {passed: 0, failed: 0, notCovered: 0};
  for (const cell of cells) {
    const result = runCell(cell);
    if (result.kind === 'notCovered') {
      counts.notCovered += 1;
      console.log(`not covered: ${formatCell(cell)}: ${result.reason}`);
    } else if (result.violations.length === 0) {
      counts.passed += 1;
    } else {
      counts.failed += 1;
      console.log(`failed: ${formatCell(cell)}`);
      for (const {invariant, detail} of result.violations) {
        console.log(`  ${invariant}: ${detail}`);
      }
    }
  }
  console.log(JSON.stringify(createSummary(cells.length, counts)));
}

function createSummary(
  cells: number,
  counts: {
    readonly passed: number;
    readonly failed: number;
    readonly notCovered: number;
  },
): unknown {
  const toMetric = (value: number, unit: string, target: string | null) => ({
    value,
    unit,
    target,
  });
  return {
    bench: 'matrix',
    seed: null,
    metrics: {
      cells: toMetric(cells, 'cells', null),
      cellsPassed: toMetric(counts.passed, 'cells', null),
      cellsFailed: toMetric(counts.failed, 'cells', '<= 0'),
      cellsNotCovered: toMetric(counts.notCovered, 'cells', null),
      checkersShownFailing: toMetric(
        countVerifiedCheckers(),
        'checkers',
        `>= ${INVARIANTS.length}`,
      ),
    },
  };
}

await runMain(command);
