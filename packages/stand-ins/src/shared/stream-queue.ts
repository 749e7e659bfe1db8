/** An unbounded queue that one reader reads as an async iterable. */
export class StreamQueue<T> implements AsyncIterable<T> {
  readonly #items: T[] = [];
  #hasEnded = false;
  #wakeReader: (() => void) | undefined;

  push(item: T): void {
    if (this.#hasEnded) return;
    this.#items.push(item);
    this.#wakeReader?.();
  }

  /** Ends the iteration after the queued items are read. */
  end(): void {
    this.#hasEnded = true;
    this.#wakeReader?.();
  }

  /** Ends the iteration immediately and drops the unread items. */
  close(): void {
    this.#items.length = 0;
    this.end();
  }

  async *[Symbol.asyncIterator](): AsyncGenerator<T, void, undefined> {
    for (;;) {
      const item = this.#items.shift();
      if (item !== undefined) {
        yield item;
        continue;
      }
      if (this.#hasEnded) return;
      await new Promise<void>(resolve => {
        this.#wakeReader = resolve;
      });
    }
  }
}
