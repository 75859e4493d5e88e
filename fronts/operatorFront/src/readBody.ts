import type * as z from 'zod';

/** Parses a JSON body; `undefined` if it does not match the schema. */
export function readBody<Body>(
  schema: z.ZodType<Body>,
  body: unknown,
): Body | undefined {
  try {
    return schema.parse(JSON.parse((body as Buffer).toString('utf8')));
  } catch {
    return undefined;
  }
}
