import {readFileSync} from 'node:fs';

import type {EntryAccess} from '@gentianshunt/operatorClient';

/** Arguments of a subcommand that sends requests to entries. */
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
    description: 'Operator name, used if the entries need no key',
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

/** Values of `ACCESS_ARGS`. */
export interface AccessArgs {
  readonly entry: string;
  readonly 'key-file'?: string | undefined;
  readonly operator: string;
  readonly json?: boolean | undefined;
}

/** Creates the access to entries from the arguments and the key file. */
export function readEntryAccess(args: AccessArgs): EntryAccess {
  const file = args['key-file'];
  return {
    entries: args.entry.split(',').map(url => url.replace(/\/$/, '')),
    key: file === undefined ? null : readFileSync(file, 'utf8').trim(),
    operator: args.operator,
  };
}
