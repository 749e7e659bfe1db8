/** Bytes that arrive in parts of any size and are kept until they are needed as a whole. */

import { blockBytes as maxBlockBytes } from './block-pool.js';
import type { BlockPool } from './block-pool.js';

/** Size of the first block; later ones grow up to that of the pool. */
const minBlockBytes = 1_024;

/**
 * Copies parts into blocks, at a cost in time and memory that grows with the number of bytes
 * and not with that of the parts. A part that is kept by itself takes a hundred bytes more, and
 * holds the memory of all that was read together with it.
 */
export class ByteBlocks {
  #fullBlocks: Buffer[] = [];
  #block: Buffer = Buffer.alloc(0);
  /** Bytes of the last block that are in use. */
  #usedBytes = 0;
  #length = 0;
  #allocatedBytes = 0;

  /** Long blocks come from the pool, if there is one, and go back to it. */
  constructor(private readonly pool?: BlockPool) {}

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Bytes of memory that the blocks take. */
  get allocatedBytes(): number {
    return this.#allocatedBytes;
  }

  /** Appends a copy of the bytes. */
  append(bytes: Buffer): void {
    let offset = 0;
    while (offset < bytes.length) {
      if (this.#usedBytes === this.#block.length) this.#addBlock();
      const copied = bytes.copy(this.#block, this.#usedBytes, offset);
      this.#usedBytes += copied;
      offset += copied;
    }
    this.#length += bytes.length;
  }

  /** Returns all bytes and starts anew. */
  take(): Buffer {
    const last = this.#block.subarray(0, this.#usedBytes);
    const bytes =
      this.#fullBlocks.length === 0
        ? last
        : Buffer.concat([...this.#fullBlocks, last]);
    // A single block is handed out itself.
    if (this.#fullBlocks.length === 0) this.#block = Buffer.alloc(0);
    this.clear();
    return bytes;
  }

  /** Drops all bytes. */
  clear(): void {
    for (const block of [...this.#fullBlocks, this.#block])
      if (block.length === maxBlockBytes) this.pool?.give(block);
    this.#fullBlocks = [];
    this.#block = Buffer.alloc(0);
    this.#usedBytes = 0;
    this.#length = 0;
    this.#allocatedBytes = 0;
  }

  #addBlock(): void {
    if (this.#block.length > 0) this.#fullBlocks.push(this.#block);
    const grownBytes = Math.max(minBlockBytes, this.#allocatedBytes);
    this.#block =
      this.pool !== undefined && grownBytes >= maxBlockBytes
        ? this.pool.take()
        : Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, grownBytes));
    this.#usedBytes = 0;
    this.#allocatedBytes += this.#block.length;
  }
}
