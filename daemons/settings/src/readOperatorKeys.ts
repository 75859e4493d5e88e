import type {OperatorId} from '@gentianshunt/identifiers';
import {isIdentifier} from '@gentianshunt/identifiers';
import * as z from 'zod';

import {parseToml, readText} from './settingsFile.js';
import {SettingsError} from './settingsError.js';

/** An operator and the SHA-256 digest of the operator's key. */
export interface OperatorKeyEntry {
  readonly operator: OperatorId;
  readonly digest: Uint8Array;
}

const keysSchema = z.strictObject({
  operator: z
    .array(
      z.strictObject({
        name: z
          .string()
          .refine(isIdentifier, 'must be letters, digits, dots or dashes'),
        key_sha256: z
          .string()
          .regex(/^[0-9a-f]{64}$/, 'must be 64 hexadecimal digits'),
      }),
    )
    .min(1),
});

/** Reads the file that lists the operators and the digests of their keys. */
export function readOperatorKeys(options: {
  readonly file: string;
}): readonly OperatorKeyEntry[] {
  const {file} = options;
  const result = keysSchema.safeParse(parseToml(file, readText(file)));
  if (!result.success) {
    const issue = result.error.issues[0]!;
    const key = issue.path.map(String).join('.');
    throw new SettingsError(file, key, null, issue.message);
  }
  return result.data.operator.map(({name, key_sha256: digest}) => ({
    operator: name as OperatorId,
    digest: Buffer.from(digest, 'hex'),
  }));
}
