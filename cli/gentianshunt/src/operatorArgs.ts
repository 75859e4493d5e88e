import {readFileSync} from 'node:fs';

import type {EntryAccess} from '@gentianshunt/operatorClient';

/** Arguments of every subcommand that talks to entries. */
export const OPERATOR_ARGS = {
  text: {
    type: 'positional',
    required: true,
    description: 'Text in the operators’ language',
  },
  entry: {
    type: 'string',
    required: true,
    description: 'Base URLs of entries, separated by commas',
  },
  'key-file': {type: 'string', description: 'File with the operator’s key'},
  operator: {
    type: 'string',
    default: 'anonymous',
    description: 'Name used where entries need no key',
  },
  json: {type: 'boolean', description: 'Print JSON'},
} as const;

/** Values of those arguments. */
export interface OperatorArgs {
  readonly text: string;
  readonly entry: string;
  readonly 'key-file'?: string | undefined;
  readonly operator: string;
  readonly json?: boolean | undefined;
}

/** Reads how the entries are reached. */
export function readEntryAccess(args: OperatorArgs): EntryAccess {
  const file = args['key-file'];
  return {
    entries: args.entry.split(',').map(url => url.replace(/\/$/, '')),
    key: file === undefined ? null : readFileSync(file, 'utf8').trim(),
    operator: args.operator,
  };
}
