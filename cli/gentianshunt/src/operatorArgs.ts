import {readFileSync} from 'node:fs';

import type {EntryAccess} from '@gentianshunt/operatorClient';

/** Arguments that tell how entries are reached. */
export const ACCESS_ARGS = {
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

/** Arguments of a subcommand that sends text in the operators' language. */
export const OPERATOR_ARGS = {
  text: {
    type: 'positional',
    required: true,
    description: 'Text in the operators’ language',
  },
  ...ACCESS_ARGS,
} as const;

/** Values of the arguments that tell how entries are reached. */
export interface AccessArgs {
  readonly entry: string;
  readonly 'key-file'?: string | undefined;
  readonly operator: string;
  readonly json?: boolean | undefined;
}

/** Reads how the entries are reached. */
export function readEntryAccess(args: AccessArgs): EntryAccess {
  const file = args['key-file'];
  return {
    entries: args.entry.split(',').map(url => url.replace(/\/$/, '')),
    key: file === undefined ? null : readFileSync(file, 'utf8').trim(),
    operator: args.operator,
  };
}
