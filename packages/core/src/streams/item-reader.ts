/** Reads the items of one connection with a time limit per item. */
import type { StreamItem } from '../target/target.js';

/**
 * Result of a read: an item, the end of the connection, no item within the time
 * limit (`silent`), or an abort.
 */
export type ReadResult =
  | { readonly kind: 'item'; readonly item: StreamItem }
  | { readonly kind: 'closed' | 'silent' | 'aborted' };

/** Reads one connection; a timeout does not close it. */
export class ItemReader {
  readonly #items: AsyncIterator<StreamItem>;
  readonly #connectionController = new AbortController();
  readonly #signal: AbortSignal;

  /**
   * `openConnection` connects; aborting its signal closes the connection.
   * Aborting `signal` ends a pending read.
   */
  constructor(
    openConnection: (signal: AbortSignal) => AsyncIterable<StreamItem>,
    signal: AbortSignal,
  ) {
    this.#signal = signal;
    this.#items = openConnection(this.#connectionController.signal)[
      Symbol.asyncIterator
    ]();
  }

  /** Waits up to `silenceTimeoutMs` for the next item. */
  async readItem(silenceTimeoutMs: number): Promise<ReadResult> {
    if (this.#signal.aborted) return { kind: 'aborted' };
    let cleanUp = () => undefined as unknown;
    const interruption = new Promise<ReadResult>(resolve => {
      const onAbort = () => {
        resolve({ kind: 'aborted' });
      };
      const timer = setTimeout(() => {
        resolve({ kind: 'silent' });
      }, silenceTimeoutMs);
      this.#signal.addEventListener('abort', onAbort, { once: true });
      cleanUp = () => {
        clearTimeout(timer);
        this.#signal.removeEventListener('abort', onAbort);
      };
    });
    try {
      return await Promise.race([this.#readNext(), interruption]);
    } finally {
      cleanUp();
    }
  }

  /** Closes the connection without waiting for the engine. */
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
