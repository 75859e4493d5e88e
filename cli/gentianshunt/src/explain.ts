import {readFileSync} from 'node:fs';

import {
  countFailures,
  createExplanation,
  createLeaseExplanation,
  createReleaseExplanation,
  formatExplanation,
  formatFailures,
  formatLeaseExplanation,
  formatReleaseExplanation,
  parseTime,
  readLogLines,
} from '@gentianshunt/explain';
import type {LogLines} from '@gentianshunt/explain';
import {defineCommand} from 'citty';

import {FAILURE_EXIT_CODE, runChecked, USAGE_EXIT_CODE} from './exitCodes.js';

/**
 * Finds in the daemons' logs why requests were not served, when and where a
 * release was in force, or why an entry had no lease.
 */
export const explainCommand = defineCommand({
  meta: {
    name: 'explain',
    description:
      "Find in daemons' logs why a request was not served, when and where a release was in force, or why an entry had no lease; with none of these, count the causes of all requests. Exit code 1 if no log line mentions the request, the release or the entry's lease.",
  },
  args: {
    log: {
      type: 'string',
      required: true,
      description: 'Log files, separated by commas',
    },
    request: {type: 'string', description: 'Identifier of the request'},
    release: {type: 'string', description: "Operator's version of the release"},
    lease: {
      type: 'string',
      description: 'Entry whose lease is looked for, at the time of --at',
    },
    at: {
      type: 'string',
      description:
        'Time: seconds after the first line, HH:MM:SS.mmm (UTC) or ISO 8601',
    },
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
      } else if (args.lease !== undefined) {
        printLease(log, args.lease, args.at ?? '', isJson);
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

function printLease(
  {lines}: LogLines,
  entry: string,
  time: string,
  isJson: boolean,
): void {
  const [first] = lines;
  const at = first && parseTime(time, first.at);
  if (at === undefined) {
    console.error(`--at is not a time: ${time}`);
    process.exitCode = USAGE_EXIT_CODE;
    return;
  }
  const explanation = createLeaseExplanation({lines, entry, at});
  if (explanation === undefined) {
    console.error(`no log line tells of a lease of ${entry}`);
    process.exitCode = FAILURE_EXIT_CODE;
    return;
  }
  console.log(
    isJson ? JSON.stringify(explanation) : formatLeaseExplanation(explanation),
  );
}
