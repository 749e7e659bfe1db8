/** A bounded stream toward a caller, with one final item at once. */
import { BoundedBuffer } from '../limits/bounded-buffer.js';
import { Failure } from '../shared/failure.js';
import type { Executed } from '../shared/failure.js';

import type { AnswerItem } from './generation-dispatcher.js';

export interface CallerStreamOptions {
  readonly signal: AbortSignal;
  readonly bufferBytes: number;
  readonly stallMs: number;
  /** Whether an interrupted answer may have been run. */
  readonly executed: () => Executed;
  /** Called once when the stream ends before its answer. */
  readonly onInterrupt: (failure: Failure) => void;
  readonly onItem?: (item: AnswerItem) => void;
}

/** Bytes that an item takes beside its text. */
const itemBytes = 64;

export class CallerStream {
  readonly items: BoundedBuffer<AnswerItem>;
  readonly #options: CallerStreamOptions;
  readonly #stopper = new AbortController();
  readonly #onAbort: () => void;

  constructor(options: CallerStreamOptions) {
    this.#options = options;
    this.#onAbort = () => {
      this.interrupt(reasonOf(options.signal));
    };
    this.items = new BoundedBuffer({
      maxBytes: options.bufferBytes,
      sizeOf,
      stallMs: options.stallMs,
      onReturn: this.#onAbort,
    });
  }

  /** Follows the caller's signal from now on. */
  open(): void {
    const { signal } = this.#options;
    signal.addEventListener('abort', this.#onAbort, { once: true });
    if (signal.aborted) this.#onAbort();
  }

  /** Aborted once nothing more is wanted for the caller. */
  get signal(): AbortSignal {
    return this.#stopper.signal;
  }

  /** Passes an item on; a caller that reads too slowly is detached. */
  async push(item: AnswerItem): Promise<boolean> {
    if (this.signal.aborted) return false;
    const added = await this.items.push(item);
    if (added) this.#options.onItem?.(item);
    else this.interrupt(slowCaller());
    return added;
  }

  /** Passes on the final item. */
  finish(item: AnswerItem): void {
    if (!this.#close()) return;
    this.#options.onItem?.(item);
    this.items.add(item);
    this.items.end();
  }

  /** Ends the stream at once with a failure. */
  interrupt(failure: Failure): void {
    const final = failure.withExecuted(this.#options.executed());
    if (!this.#close()) return;
    this.#options.onItem?.({ kind: 'failure', failure: final });
    this.items.add({ kind: 'failure', failure: final });
    this.items.end();
    this.#options.onInterrupt(final);
  }

  /** False when the stream was closed before. */
  #close(): boolean {
    if (this.signal.aborted) return false;
    this.#stopper.abort();
    this.#options.signal.removeEventListener('abort', this.#onAbort);
    return true;
  }
}

const sizeOf = (item: AnswerItem): number =>
  itemBytes + (item.kind === 'chunk' ? 2 * item.chunk.text.length : 0);

/** The caller's going, unless the abort names another reason. */
const reasonOf = (signal: AbortSignal): Failure =>
  signal.reason instanceof Failure
    ? signal.reason
    : new Failure('caller_gone', 'the caller has gone');

const slowCaller = (): Failure =>
  new Failure('slow_caller', 'the caller read too slowly; rejoin the stream');
