import type {z} from 'zod';

/** Reads a JSON body; `undefined` when it has another form. */
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
