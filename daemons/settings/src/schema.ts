import {isIdentifier} from '@gentianshunt/identifiers';
import type {
  FailureDomainId,
  NodeId,
  RegionId,
} from '@gentianshunt/identifiers';
import {isIP} from 'node:net';
import {z} from 'zod';

const identifier = z
  .string()
  .refine(isIdentifier, 'must be letters, digits, dots or dashes');
const port = z.int().min(0).max(65_535);
const address = z.strictObject({
  host: z.string().refine(text => isIP(text) !== 0, 'must be an IP number'),
  port,
});

const controlMember = z.strictObject({
  node: identifier.transform(text => text as NodeId),
  peer: address,
});

const common = {
  node: identifier.transform(text => text as NodeId),
  /** Sets of the same region are led here by preference. */
  region: identifier
    .transform(text => text as RegionId)
    .default('local' as RegionId),
  domain: identifier.transform(text => text as FailureDomainId),
  peer: address,
  control: z.array(controlMember).min(1),
};

/** The form of an entry daemon's settings. */
export const entrydSchema = z
  .strictObject({
    ...common,
    http: address,
    /** Lists the operators and the digests of their keys. */
    operator_keys_file: z.string().min(1).optional(),
    /** Lets everybody send commands; for tests on loopback. */
    insecure_operators: z.boolean().default(false),
    limits: z
      .strictObject({
        /** Largest body of a caller's request, in bytes. */
        max_body_bytes: z
          .int()
          .min(1_024)
          .default(4 * 1024 * 1024),
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

/** The form of a control daemon's settings. */
export const controldSchema = z.strictObject({
  ...common,
  data_folder: z.string().min(1),
  /** Where metrics and health are served; left out, they are not. */
  http: address.optional(),
});

/** Settings of an entry daemon. */
export type EntrydSettings = Readonly<z.infer<typeof entrydSchema>>;
/** Settings of a control daemon. */
export type ControldSettings = Readonly<z.infer<typeof controldSchema>>;
