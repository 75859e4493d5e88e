/** Size of the blocks in which large bodies are kept, in bytes. */
export const BLOCK_BYTES = 64 * 1_024;
/** Most unused blocks that are kept, over all fronts of the process. */
const MAX_FREE_BLOCKS = 512;

const free: Buffer[] = [];

/**
 * Takes a block. Blocks are used again, because the runtime frees the memory of
 * buffers late, at a collection.
 */
export function takeBlock(): Buffer {
  return free.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES);
}

/** Gives a block back; nothing may refer to its bytes any more. */
export function releaseBlock(block: Buffer): void {
  if (free.length < MAX_FREE_BLOCKS) {
    free.push(block);
  }
}
