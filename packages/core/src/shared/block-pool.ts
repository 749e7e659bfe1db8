/** Blocks of memory that are used again and again. */

/** Size of a block. */
export const blockBytes = 64 * 1024;

/**
 * Keeps blocks that are not in use for the next body. What is allocated anew for each body is
 * garbage outside the heap, which the runtime collects only once there is much of it: bodies
 * that come fast and are given up take several times the memory that they are allowed.
 */
export class BlockPool {
  readonly #freeBlocks: Buffer[] = [];

  /** Bytes of the blocks that are kept. */
  get freeBytes(): number {
    return this.#freeBlocks.length * blockBytes;
  }

  /** Returns a block with any content. */
  take(): Buffer {
    return this.#freeBlocks.pop() ?? Buffer.allocUnsafeSlow(blockBytes);
  }

  /** Takes back a block, which nobody may use any more. */
  give(block: Buffer): void {
    this.#freeBlocks.push(block);
  }

  /** Gives up blocks beyond this many bytes. */
  trim(maxBytes: number): void {
    const count = Math.max(0, Math.floor(maxBytes / blockBytes));
    if (this.#freeBlocks.length > count) this.#freeBlocks.length = count;
  }
}
