import {SchedulerError} from '@gentianshunt/errors';

/** Thrown when the body of an answer does not end within its limit. */
export class BodyTooLargeError extends SchedulerError {
  constructor(step: string, peer: string, maxBytes: number) {
    super({
      code: 'ERR_BODY_TOO_LARGE',
      message: `the body of the answer is larger than ${maxBytes} bytes`,
      origin: {step, peer},
      hint: 'check what answers at this address',
    });
  }
}

/** Who sends a body, for which step, and how large it may be. */
export interface BodyBounds {
  readonly step: string;
  readonly peer: string;
  readonly maxBytes: number;
}

/**
 * Reads a whole body as text.
 * @throws {BodyTooLargeError} above the limit; the connection is closed then
 */
export async function readBoundedText(
  body: AsyncIterable<Uint8Array>,
  {step, peer, maxBytes}: BodyBounds,
): Promise<string> {
  const chunks: Uint8Array[] = [];
  let length = 0;
  for await (const chunk of body) {
    length += chunk.length;
    if (length > maxBytes) {
      throw new BodyTooLargeError(step, peer, maxBytes);
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
}

/** Reads a whole body as JSON; see `readBoundedText`. */
export async function readBoundedJson(
  body: AsyncIterable<Uint8Array>,
  bounds: BodyBounds,
): Promise<unknown> {
  return JSON.parse(await readBoundedText(body, bounds)) as unknown;
}
