/** Reads a stream with a limit on silence. */
import type { StreamItem } from '../target/target.js';

/** What a read gave: an item, the end of the connection, or no item. */
export type ReadResult =
  | { readonly kind: 'item'; readonly item: StreamItem }
  | { readonly kind: 'closed' | 'silent' | 'aborted' };

export class ItemReader {
  readonly #items: AsyncIterator<StreamItem>;
  readonly #connectionController = new AbortController();
  readonly #signal: AbortSignal;

  /** `open` connects; its signal closes the connection. */
  constructor(
    open: (signal: AbortSignal) => AsyncIterable<StreamItem>,
    signal: AbortSignal,
  ) {
    this.#signal = signal;
    this.#items = open(this.#connectionController.signal)[
      Symbol.asyncIterator
    ]();
  }

  async readItem(silenceMs: number): Promise<ReadResult> {
    if (this.#signal.aborted) return { kind: 'aborted' };
    let stop = () => undefined as unknown;
    const interrupted = new Promise<ReadResult>(resolve => {
      const onAbort = () => {
        resolve({ kind: 'aborted' });
      };
      const timer = setTimeout(() => {
        resolve({ kind: 'silent' });
      }, silenceMs);
      this.#signal.addEventListener('abort', onAbort, { once: true });
      stop = () => {
        clearTimeout(timer);
        this.#signal.removeEventListener('abort', onAbort);
      };
    });
    try {
      return await Promise.race([this.#readNext(), interrupted]);
    } finally {
      stop();
    }
  }

  /** Closes the connection without waiting for its other end. */
  closeConnection(): void {
    this.#connectionController.abort();
    void this.#items.return?.();
  }

  async #readNext(): Promise<ReadResult> {
    const result = await this.#items.next();
    if (result.done === true) return { kind: 'closed' };
    return { kind: 'item', item: result.value };
  }
}
