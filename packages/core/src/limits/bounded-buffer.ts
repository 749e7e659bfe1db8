/**
 * A queue of bounded size between the reader of a target's stream and a
 * caller: a slow caller holds the reader back instead of filling memory.
 */
export interface BoundedBufferOptions<T> {
  readonly maxBytes: number;
  readonly measureBytes: (item: T) => number;
  /** How long the writer waits for a caller that takes nothing. */
  readonly stallTimeoutMs: number;
  /** Called when the reader gives up before the end. */
  readonly onReturn?: () => void;
}

export class BoundedBuffer<T> implements AsyncIterableIterator<T> {
  readonly #options: BoundedBufferOptions<T>;
  readonly #items: T[] = [];
  #bufferedBytes = 0;
  #isEnded = false;
  #onRead: ((stalled: boolean) => void) | undefined;
  #onItem: (() => void) | undefined;

  constructor(options: BoundedBufferOptions<T>) {
    this.#options = options;
  }

  /** Bytes that wait for the caller. */
  get bufferedBytes(): number {
    return this.#bufferedBytes;
  }

  /**
   * Adds an item, after waiting for room. False when the caller took nothing
   * for too long or has ended the buffer: the item was not added.
   */
  async push(item: T): Promise<boolean> {
    while (!this.#isEnded && this.#bufferedBytes >= this.#options.maxBytes) {
      const stalled = await this.#waitForSpace();
      if (stalled) return false;
    }
    return this.addWithoutWaiting(item);
  }

  /** Adds an item without waiting for room, such as the last one. */
  addWithoutWaiting(item: T): boolean {
    if (this.#isEnded) return false;
    this.#items.push(item);
    this.#bufferedBytes += this.#options.measureBytes(item);
    this.#onItem?.();
    return true;
  }

  /** No more items come; those that wait are still read. */
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

  /** The caller reads no further. */
  return(): Promise<IteratorResult<T, undefined>> {
    this.#items.length = 0;
    this.#bufferedBytes = 0;
    const early = !this.#isEnded;
    this.end();
    if (early) this.#options.onReturn?.();
    return Promise.resolve({ done: true, value: undefined });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /** Resolves with false once something was read, or true after the limit. */
  #waitForSpace(): Promise<boolean> {
    return new Promise(resolve => {
      const settle = (stalled: boolean) => {
        clearTimeout(timer);
        this.#onRead = undefined;
        resolve(stalled);
      };
      const timer = setTimeout(() => {
        settle(true);
      }, this.#options.stallTimeoutMs);
      this.#onRead = settle;
    });
  }
}
