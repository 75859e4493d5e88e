import importX from 'eslint-plugin-import-x';
import tseslint from 'typescript-eslint';

import {verbRule} from './scripts/verbRule.mjs';

// Modules that packages which make decisions may not import.
const IO_MODULES = [
  'node:fs',
  'node:fs/promises',
  'node:net',
  'node:http',
  'node:dgram',
  'node:child_process',
  'node:timers',
  'node:timers/promises',
  'node:worker_threads',
  'fastify',
  'undici',
  'cbor-x',
  'prom-client',
  'debug',
  'citty',
  'smol-toml',
];

export default tseslint.config(
  {
    ignores: [
      '**/dist/**',
      'target/**',
      '**/node_modules/**',
      '**/generated/**',
      '.tap',
    ],
  },
  ...tseslint.configs.strict,
  {
    plugins: {'import-x': importX},
    rules: {
      eqeqeq: ['error', 'always'],
      curly: ['error', 'all'],
      'prefer-const': 'error',
      'no-var': 'error',
      'max-lines': ['error', {max: 400, skipBlankLines: true}],
      'max-lines-per-function': [
        'error',
        {max: 150, skipBlankLines: true, skipComments: true},
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ExportDefaultDeclaration',
          message: 'Use a named export.',
        },
      ],
      '@typescript-eslint/no-non-null-assertion': 'off',
      '@typescript-eslint/no-unused-vars': ['error', {argsIgnorePattern: '^_'}],
      '@typescript-eslint/consistent-type-imports': 'error',
      'import-x/no-mutable-exports': 'error',
    },
  },
  {
    files: ['*/*/src/**/*.ts'],
    plugins: {workspace: {rules: {'function-verb': verbRule}}},
    rules: {'workspace/function-verb': 'error'},
  },
  {
    // A package declares the packages that it imports as dependencies.
    files: ['*/*/src/**/*.ts'],
    rules: {
      'import-x/no-extraneous-dependencies': [
        'error',
        {devDependencies: false},
      ],
    },
  },
  {
    files: ['**/test/**/*.ts'],
    rules: {'max-lines-per-function': 'off'},
  },
  {
    files: ['**/*.config.mjs', 'scripts/**'],
    rules: {'no-restricted-syntax': 'off'},
  },
  {
    // Packages that make decisions do no I/O, do not encode messages and do not
    // read the machine's clock.
    files: ['{core,scheduling,control,language}/*/src/**/*.ts'],
    rules: {
      'no-restricted-imports': ['error', {paths: IO_MODULES}],
      'no-restricted-globals': [
        'error',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'performance',
        'process',
      ],
      'no-restricted-properties': [
        'error',
        {object: 'Date', property: 'now'},
        {object: 'Math', property: 'random'},
      ],
    },
  },
);
