/** Growing buffer for the bytes of an event whose end has not arrived. */

const minCapacityBytes = 1_024;

/**
 * Collects bytes at a cost that grows with their number, however small the parts are
 * in which they arrive.
 */
export class IncompleteEvent {
  #buffer: Buffer = Buffer.alloc(0);
  #length = 0;

  /** Number of bytes. */
  get length(): number {
    return this.#length;
  }

  /** Appends bytes. */
  append(bytes: Buffer): void {
    const length = this.#length + bytes.length;
    if (length > this.#buffer.length) this.#grow(length);
    bytes.copy(this.#buffer, this.#length);
    this.#length = length;
  }

  /** Returns all bytes and starts anew. */
  take(): Buffer {
    const bytes = this.#buffer.subarray(0, this.#length);
    this.#buffer = Buffer.alloc(0);
    this.#length = 0;
    return bytes;
  }

  /** Doubles the capacity, so that each byte is copied a few times at most. */
  #grow(minBytes: number): void {
    const capacity = Math.max(
      minCapacityBytes,
      minBytes,
      2 * this.#buffer.length,
    );
    const grown = Buffer.allocUnsafe(capacity);
    this.#buffer.copy(grown, 0, 0, this.#length);
    this.#buffer = grown;
  }
}
