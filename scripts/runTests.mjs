// Runs the compiled tests with tap and prints the numbers of passed and failed
// assertions. Failures of tests that KNOWN-RED.txt names are printed, but
// not counted as failed. Files that take over half of their time limit are printed.
// Usage: node scripts/runTests.mjs [PACKAGE_PATH ...]
import {spawn} from 'node:child_process';
import {existsSync, readdirSync, readFileSync} from 'node:fs';
import {join} from 'node:path';

import {Parser} from 'tap-parser';

import {readPackages} from './workspace.mjs';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const FILE_TIMEOUT_S = 120;
/** A file that takes longer alone may not be done in time on a busy machine. */
const SLOW_FILE_MS = 500 * FILE_TIMEOUT_S;
const selectedPaths = process.argv
  .slice(2)
  .map(path => path.replace(/\/$/, ''));
const files = readPackages()
  .filter(
    ({path}) => selectedPaths.length === 0 || selectedPaths.includes(path),
  )
  .map(({path}) => join(path, 'dist', 'test'))
  .filter(folder => existsSync(folder))
  .flatMap(folder =>
    readdirSync(folder)
      .filter(name => name.endsWith('.test.js'))
      .filter(name => existsSync(toSourcePath(join(folder, name))))
      .map(name => join(folder, name)),
  );

function toSourcePath(compiled) {
  return compiled.replace('/dist/', '/').replace(/\.js$/, '.ts');
}

function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return [];
  }
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter(line => line.startsWith('test: '))
    .map(line => line.slice('test: '.length).trim());
}

const knownRed = readKnownRed();
const counts = {passed: 0, failed: 0, knownRed: 0};
const failures = [];

/** Counts one assertion, or one test that failed without a failed assertion. */
function recordResult(ok, name, detail) {
  if (ok) {
    counts.passed += 1;
  } else if (knownRed.some(test => name.includes(test))) {
    counts.knownRed += 1;
    console.log(`known red: ${name}`);
  } else {
    counts.failed += 1;
    failures.push({name, detail});
  }
}

/**
 * Counts the assertions of a parser and of its subtests. The line after a
 * subtest repeats the subtest's result, so it is counted only if it reports a
 * failure and no assertion in the subtest failed.
 */
function countAssertions(parser, path) {
  const state = {child: undefined, failed: 0};
  parser.on('child', child => {
    state.child = countAssertions(child, [...path, child.name]);
  });
  parser.on('assert', result => {
    const child = state.child;
    state.child = undefined;
    if (!result.ok) {
      state.failed += 1;
    }
    if (child === undefined || (!result.ok && child.failed === 0)) {
      recordResult(result.ok, [...path, result.name].join(' > '), result.diag);
    }
  });
  return state;
}

/** Prints the test files that take long. */
function printSlowFiles(parser) {
  parser.on('assert', ({name, time}) => {
    if (time > SLOW_FILE_MS) {
      console.log(`slow: ${name} took ${Math.round(time / 1_000)} s`);
    }
  });
}

const tap = spawn(
  process.execPath,
  [
    'node_modules/tap/dist/esm/run.mjs',
    '--reporter=tap',
    '--disable-coverage',
    '--allow-empty-coverage',
    '--jobs=6',
    `--timeout=${FILE_TIMEOUT_S}`,
    ...files,
  ],
  {stdio: ['ignore', 'pipe', 'inherit']},
);
const parser = new Parser();
countAssertions(parser, []);
printSlowFiles(parser);
const tapOutput = [];
tap.stdout.on('data', chunk => tapOutput.push(chunk));
tap.stdout.pipe(parser);
const exitCode = await new Promise(resolve => tap.on('close', resolve));

for (const {name, detail} of failures) {
  console.log(`failed: ${name}`);
  console.log(JSON.stringify(detail, null, 2));
}
if (exitCode !== 0 && failures.length === 0 && counts.knownRed === 0) {
  console.log(Buffer.concat(tapOutput).toString('utf8'));
  counts.failed += 1;
}
for (const test of knownRed) {
  console.log(`KNOWN-RED: ${test}`);
}
console.log(`${counts.passed} passed, ${counts.failed} failed`);
process.exitCode = counts.failed === 0 && counts.passed > 0 ? 0 : 1;
