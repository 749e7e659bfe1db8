/** Bytes that arrive in parts of any size and are kept until they are needed as a whole. */

/** Size of the first block. */
const minBlockBytes = 1_024;

/** Size from which blocks no longer grow. */
const maxBlockBytes = 64 * 1024;

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
    this.#fullBlocks = [];
    this.#block = Buffer.alloc(0);
    this.#usedBytes = 0;
    this.#length = 0;
    this.#allocatedBytes = 0;
    return bytes;
  }

  #addBlock(): void {
    if (this.#block.length > 0) this.#fullBlocks.push(this.#block);
    const grownBytes = Math.max(minBlockBytes, this.#allocatedBytes);
    this.#block = Buffer.allocUnsafeSlow(Math.min(maxBlockBytes, grownBytes));
    this.#usedBytes = 0;
    this.#allocatedBytes += this.#block.length;
  }
}
