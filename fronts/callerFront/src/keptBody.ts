/** Largest answer kept for resends, in bytes. */
export const MAX_STORED_ANSWER_BYTES = 64 * 1024;

/** Keeps a body while it is small enough. */
export interface KeptBody {
  push(chunk: Buffer): void;
  /** Returns the whole body, or `null` when it was too large or unwanted. */
  read(): Uint8Array | null;
}

/** Creates an empty body. */
export function createKeptBody(isWanted: boolean): KeptBody {
  let chunks: Buffer[] = [];
  let length = 0;
  let isKept = isWanted;
  return {
    push: chunk => {
      length += chunk.length;
      if (!isKept || length > MAX_STORED_ANSWER_BYTES) {
        isKept = false;
        chunks = [];
        return;
      }
      chunks.push(chunk);
    },
    read: () => (isKept ? Buffer.concat(chunks) : null),
  };
}
