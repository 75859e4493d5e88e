import {isIdentifier} from '@gentianshunt/identifiers';
import type {
  FailureDomainId,
  NodeId,
  RegionId,
} from '@gentianshunt/identifiers';
import {isIP} from 'node:net';
import * as z from 'zod';

const identifier = z
  .string()
  .refine(isIdentifier, 'must be letters, digits, dots or dashes');
const port = z.int().min(0).max(65_535);
const address = z.strictObject({
  host: z.string().refine(text => isIP(text) !== 0, 'must be an IP address'),
  port,
});

const controlMember = z.strictObject({
  node: identifier.transform(text => text as NodeId),
  peer: address,
});

const commonFields = {
  node: identifier.transform(text => text as NodeId),
  /** The entry is a preferred leader for endpoint sets of this region. */
  region: identifier
    .transform(text => text as RegionId)
    .default('local' as RegionId),
  domain: identifier.transform(text => text as FailureDomainId),
  peer: address,
  control: z.array(controlMember).min(1),
};

/** Schema of an entry daemon's settings. */
export const entrydSchema = z
  .strictObject({
    ...commonFields,
    http: address,
    /** Path of the file with the operators and the digests of their keys. */
    operator_keys_file: z.string().min(1).optional(),
    /** Accepts commands without a key; for tests on loopback. */
    insecure_operators: z.boolean().default(false),
    limits: z
      .strictObject({
        /** Largest request body, in bytes. */
        max_body_bytes: z
          .int()
          .min(1_024)
          .default(4 * 1024 * 1024),
        /** Memory of the process, in units of 1024 x 1024 bytes. */
        memory_mb: z.int().min(150).default(1_024),
      })
      .prefault({}),
  })
  .refine(
    settings =>
      settings.insecure_operators || settings.operator_keys_file !== undefined,
    {
      path: ['operator_keys_file'],
      message: 'is missing; or set insecure_operators = true for tests',
    },
  );

/** Schema of a control daemon's settings. */
export const controldSchema = z.strictObject({
  ...commonFields,
  data_folder: z.string().min(1),
  /** Address of the metrics and health routes; not served if omitted. */
  http: address.optional(),
  limits: z
    .strictObject({
      /** Memory of the process, in units of 1024 x 1024 bytes. */
      memory_mb: z.int().min(150).default(512),
      /** Space for the data folder, in the same units. */
      disk_mb: z.int().min(64).default(1_024),
    })
    .prefault({}),
});

/** Settings of an entry daemon. */
export type EntrydSettings = Readonly<z.infer<typeof entrydSchema>>;
/** Settings of a control daemon. */
export type ControldSettings = Readonly<z.infer<typeof controldSchema>>;
