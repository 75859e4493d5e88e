// Generates src/generated/parser.ts from src/grammar.peggy; the output is
// committed. With --check it only compares and fails if they differ.
// Usage: node language/grammar/generate.mjs [--check]
import {readFileSync, writeFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';

import peggy from 'peggy';

const resolve = path => fileURLToPath(new URL(path, import.meta.url));
const target = resolve('src/generated/parser.ts');
const parser = peggy.generate(
  readFileSync(resolve('src/grammar.peggy'), 'utf8'),
  {output: 'source', format: 'es', grammarSource: 'language'},
);
const text = `// @ts-nocheck\n${parser}`;
if (!process.argv.includes('--check')) {
  writeFileSync(target, text);
} else if (readFileSync(target, 'utf8') !== text) {
  console.error(`out of date: ${target}`);
  process.exitCode = 1;
}
