/** Largest answer stored to be sent again under its idempotency key. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/** Stores the body of an answer as long as it is small enough. */
export interface StoredBody {
  push(chunk: Buffer): void;
  /** Returns the whole body, or `null` if it was too large or not wanted. */
  read(): Uint8Array | null;
}

/** Creates an empty body. */
export function createStoredBody(isWanted: boolean): StoredBody {
  let chunks: Buffer[] = [];
  let length = 0;
  let isStored = isWanted;
  return {
    push: chunk => {
      length += chunk.length;
      if (!isStored || length > MAX_STORED_ANSWER_BYTES) {
        isStored = false;
        chunks = [];
        return;
      }
      chunks.push(chunk);
    },
    read: () => (isStored ? Buffer.concat(chunks) : null),
  };
}
