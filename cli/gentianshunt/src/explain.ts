import {readFileSync} from 'node:fs';

import {
  countFailures,
  createExplanation,
  formatExplanation,
  formatFailures,
  readLogLines,
} from '@gentianshunt/explain';
import type {LogLines} from '@gentianshunt/explain';
import {defineCommand} from 'citty';

import {FAILURE_EXIT_CODE, runChecked} from './exitCodes.js';

/** Finds in the daemons' logs why requests were not served. */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      "Find in daemons' logs why a request was not served; without --request, count the causes of all requests. Exit code 1 if no log line mentions the request.",
  },
  args: {
    log: {
      type: 'string',
      required: true,
      description: 'Log files, separated by commas',
    },
    request: {type: 'string', description: 'Identifier of the request'},
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
      if (args.request === undefined) {
        printFailures(log, isJson);
      } else {
        printExplanation(log, args.request, isJson);
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
