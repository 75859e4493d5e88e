import {readFileSync} from 'node:fs';

import {
  countFailures,
  createExplanation,
  createReleaseExplanation,
  formatExplanation,
  formatFailures,
  formatReleaseExplanation,
  readLogLines,
} from '@gentianshunt/explain';
import type {LogLines} from '@gentianshunt/explain';
import {defineCommand} from 'citty';

import {FAILURE_EXIT_CODE, runChecked} from './exitCodes.js';

/**
 * Finds in the daemons' logs why requests were not served, or when and where a
 * release was in force.
 */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      "Find in daemons' logs why a request was not served, or when and where a release was in force; with neither, count the causes of all requests. Exit code 1 if no log line mentions the request or the release.",
  },
  args: {
    log: {
      type: 'string',
      required: true,
      description: 'Log files, separated by commas',
    },
    request: {type: 'string', description: 'Identifier of the request'},
    release: {type: 'string', description: "Operator's version of the release"},
    json: {type: 'boolean', description: 'Print JSON'},
  },
  run: ({args}) =>
    runChecked(() => {
      const files = args.log.split(',').map(file => readFileSync(file, 'utf8'));
      const log = readLogLines(files);
      if (log.unreadable > 0) {
        console.error(`${log.unreadable} lines are not log lines of a daemon`);
      }
      const isJson = args.json === true;
      if (args.request !== undefined) {
        printExplanation(log, args.request, isJson);
      } else if (args.release !== undefined) {
        printRelease(log, args.release, isJson);
      } else {
        printFailures(log, isJson);
      }
    }),
});

function printFailures({lines}: LogLines, isJson: boolean): void {
  const rows = countFailures(lines);
  console.log(isJson ? JSON.stringify(rows) : formatFailures(rows));
}

function printExplanation(
  {lines}: LogLines,
  request: string,
  isJson: boolean,
): void {
  const explanation = createExplanation({lines, request});
  if (explanation === undefined) {
    console.error(`no log line mentions request ${request}`);
    process.exitCode = FAILURE_EXIT_CODE;
    return;
  }
  console.log(
    isJson ? JSON.stringify(explanation) : formatExplanation(explanation),
  );
}

function printRelease(
  {lines}: LogLines,
  release: string,
  isJson: boolean,
): void {
  const explanation = createReleaseExplanation(lines, Number(release));
  if (explanation === undefined) {
    console.error(`no log line mentions release ${release}`);
    process.exitCode = FAILURE_EXIT_CODE;
    return;
  }
  console.log(
    isJson
      ? JSON.stringify(explanation)
      : formatReleaseExplanation(explanation),
  );
}
