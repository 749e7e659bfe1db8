/**
 * A queue of bounded size between the reader of a target's stream and a
 * caller: a slow caller holds the reader back instead of filling memory.
 */
export interface BoundedBufferOptions<T> {
  readonly maxBytes: number;
  readonly sizeOf: (item: T) => number;
  /** How long the writer waits for a caller that takes nothing. */
  readonly stallMs: number;
  /** Called when the reader gives up before the end. */
  readonly onReturn?: () => void;
}

export class BoundedBuffer<T> implements AsyncIterableIterator<T> {
  readonly #options: BoundedBufferOptions<T>;
  readonly #items: T[] = [];
  #bytes = 0;
  #ended = false;
  #onRead: ((stalled: boolean) => void) | undefined;
  #onItem: (() => void) | undefined;

  constructor(options: BoundedBufferOptions<T>) {
    this.#options = options;
  }

  /** Bytes that wait for the caller. */
  get bytes(): number {
    return this.#bytes;
  }

  /**
   * Adds an item, after waiting for room. False when the caller took nothing
   * for too long or has ended the buffer: the item was not added.
   */
  async push(item: T): Promise<boolean> {
    while (!this.#ended && this.#bytes >= this.#options.maxBytes) {
      const stalled = await this.#room();
      if (stalled) return false;
    }
    return this.add(item);
  }

  /** Adds an item without waiting for room, such as the last one. */
  add(item: T): boolean {
    if (this.#ended) return false;
    this.#items.push(item);
    this.#bytes += this.#options.sizeOf(item);
    this.#onItem?.();
    return true;
  }

  /** No more items come; those that wait are still read. */
  end(): void {
    this.#ended = true;
    this.#onItem?.();
    this.#onRead?.(false);
  }

  async next(): Promise<IteratorResult<T, undefined>> {
    while (this.#items.length === 0 && !this.#ended) {
      await new Promise<void>(resolve => {
        this.#onItem = resolve;
      });
    }
    const item = this.#items.shift();
    if (item === undefined) return { done: true, value: undefined };
    this.#bytes -= this.#options.sizeOf(item);
    this.#onRead?.(false);
    return { done: false, value: item };
  }

  /** The caller reads no further. */
  return(): Promise<IteratorResult<T, undefined>> {
    this.#items.length = 0;
    this.#bytes = 0;
    const early = !this.#ended;
    this.end();
    if (early) this.#options.onReturn?.();
    return Promise.resolve({ done: true, value: undefined });
  }

  [Symbol.asyncIterator](): this {
    return this;
  }

  /** Resolves with false once something was read, or true after the limit. */
  #room(): Promise<boolean> {
    return new Promise(resolve => {
      const settle = (stalled: boolean) => {
        clearTimeout(timer);
        this.#onRead = undefined;
        resolve(stalled);
      };
      const timer = setTimeout(() => {
        settle(true);
      }, this.#options.stallMs);
      this.#onRead = settle;
    });
  }
}
