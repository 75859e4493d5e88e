import {createHash, randomBytes} from 'node:crypto';

import {defineCommand} from 'citty';

const KEY_BYTES = 32;

/** Generates a key for an operator and its entry in the keys file. */
export const createKeyCommand = defineCommand({
  meta: {
    name: 'create-key',
    description:
      'Generate a key for an operator: prints the key to standard output and the entry for the keys file to standard error.',
  },
  args: {
    operator: {
      type: 'positional',
      required: true,
      description: 'Name of the operator',
    },
  },
  run: ({args}) => {
    const key = randomBytes(KEY_BYTES).toString('base64url');
    const digest = createHash('sha256').update(key).digest('hex');
    console.log(key);
    console.error(
      `[[operator]]\nname = "${args.operator}"\nkey_sha256 = "${digest}"`,
    );
  },
});
