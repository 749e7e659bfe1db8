/**
 * Bounded buffer between the stream of a target and a caller. When the caller
 * reads slowly, the buffer blocks the writer instead of filling memory.
 */

/** Options of a bounded buffer of items of type `T`. */
export interface BoundedBufferOptions<T> {
  readonly maxBytes: number;
  readonly measureBytes: (item: T) => number;
  /**
   * Milliseconds that a blocked writer waits for the caller to read an item.
   */
  readonly stallTimeoutMs: number;
  /** Called when the reader stops before the writer has ended the buffer. */
  readonly onReturn?: () => void;
}

/**
 * Async iterator with one writer, which calls `push` and `end`, and one reader.
 */
export class BoundedBuffer<T> implements AsyncIterableIterator<T> {
  readonly #options: BoundedBufferOptions<T>;
  readonly #items: T[] = [];
  #bufferedBytes = 0;
  #isEnded = false;
  #onRead: ((hasStalled: boolean) => void) | undefined;
  #onItem: (() => void) | undefined;

  constructor(options: BoundedBufferOptions<T>) {
    this.#options = options;
  }

  /** Size in bytes of the items that the caller has not read yet. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Waits until the buffer is below its size limit, then adds an item. Returns
   * false, without adding the item, if the caller read nothing before the stall
   * timeout or the buffer has ended.
   */
  async push(item: T): Promise<boolean> {
    while (!this.#isEnded && this.#bufferedBytes >= this.#options.maxBytes) {
      const hasStalled = await this.#waitForSpace();
      if (hasStalled) return false;
    }
    return this.addWithoutWaiting(item);
  }

  /**
   * Adds an item even if the buffer is full, for example the last item of a
   * stream. Returns false if the buffer has ended.
   */
  addWithoutWaiting(item: T): boolean {
    if (this.#isEnded) return false;
    this.#items.push(item);
    this.#bufferedBytes += this.#options.measureBytes(item);
    this.#onItem?.();
    return true;
  }

  /**
   * Ends the buffer: no more items can be added, and the reader still gets the
   * buffered items.
   */
  end(): void {
    this.#isEnded = true;
    this.#onItem?.();
    this.#onRead?.(false);
  }

  async next(): Promise<IteratorResult<T, undefined>> {
    while (this.#items.length === 0 && !this.#isEnded) {
      await new Promise<void>(resolve => {
        this.#onItem = resolve;
      });
    }
    const item = this.#items.shift();
    if (item === undefined) return { done: true, value: undefined };
    this.#bufferedBytes -= this.#options.measureBytes(item);
    this.#onRead?.(false);
    return { done: false, value: item };
  }

  /**
   * Discards the buffered items and ends the buffer; the reader calls it when
   * it stops reading.
   */
  return(): Promise<IteratorResult<T, undefined>> {
    this.#items.length = 0;
    this.#bufferedBytes = 0;
    const stoppedEarly = !this.#isEnded;
    this.end();
    if (stoppedEarly) this.#options.onReturn?.();
    return Promise.resolve({ done: true, value: undefined });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /**
   * Resolves with false after an item was read or the buffer ended, or with
   * true after the stall timeout.
   */
  #waitForSpace(): Promise<boolean> {
    return new Promise(resolve => {
      const settle = (hasStalled: boolean) => {
        clearTimeout(timer);
        this.#onRead = undefined;
        resolve(hasStalled);
      };
      const timer = setTimeout(() => {
        settle(true);
      }, this.#options.stallTimeoutMs);
      this.#onRead = settle;
    });
  }
}
