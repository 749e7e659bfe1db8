/** Bounded buffer of answer items that one caller reads. */
import { BoundedBuffer } from '../limits/bounded-buffer.js';
import { Failure } from '../shared/failure.js';
import type { ExecutionStatus } from '../shared/failure.js';

import type { AnswerItem } from './generation-dispatcher.js';

export interface CallerStreamOptions {
  /** Aborted when the caller disconnects or the instance shuts down. */
  readonly signal: AbortSignal;
  /** Maximum size of the items that wait for the caller. */
  readonly bufferBytes: number;
  /** Milliseconds that a full buffer waits for the caller to read an item. */
  readonly stallTimeoutMs: number;
  /** Returns whether an engine may have run the request. */
  readonly executed: () => ExecutionStatus;
  /** Called once when the stream is interrupted before the final item. */
  readonly onInterrupt: (failure: Failure) => void;
  /** Called for each item that is added to the buffer. */
  readonly onItem?: (item: AnswerItem) => void;
}

/** Estimated bytes of an item without its text. */
const itemOverheadBytes = 64;

/** Delivers items to one caller and ends after exactly one final item. */
export class CallerStream {
  readonly items: BoundedBuffer<AnswerItem>;
  readonly #options: CallerStreamOptions;
  readonly #abortController = new AbortController();
  readonly #onAbort: () => void;

  constructor(options: CallerStreamOptions) {
    this.#options = options;
    this.#onAbort = () => {
      this.interruptStream(getAbortFailure(options.signal));
    };
    this.items = new BoundedBuffer({
      maxBytes: options.bufferBytes,
      measureBytes: measureItemBytes,
      stallTimeoutMs: options.stallTimeoutMs,
      onReturn: this.#onAbort,
    });
  }

  /** Interrupts the stream when the signal from the options is aborted. */
  followSignal(): void {
    const { signal } = this.#options;
    signal.addEventListener('abort', this.#onAbort, { once: true });
    if (signal.aborted) this.#onAbort();
  }

  /** Aborted once the stream has ended and accepts no more items. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /**
   * Adds an item, waiting for space in the buffer. Returns false when the
   * stream has ended. Interrupts the stream with `slow_caller` when the caller
   * reads nothing for the stall timeout.
   */
  async pushItem(item: AnswerItem): Promise<boolean> {
    if (this.signal.aborted) return false;
    const isAdded = await this.items.push(item);
    if (isAdded) this.#options.onItem?.(item);
    else this.interruptStream(createSlowCallerFailure());
    return isAdded;
  }

  /** Adds the final item without waiting for space and ends the stream. */
  finishStream(item: AnswerItem): void {
    if (!this.#closeOnce()) return;
    this.#options.onItem?.(item);
    this.items.addWithoutWaiting(item);
    this.items.end();
  }

  /** Ends the stream with a failure and calls `onInterrupt`. */
  interruptStream(failure: Failure): void {
    const finalFailure = failure.withExecuted(this.#options.executed());
    if (!this.#closeOnce()) return;
    this.#options.onItem?.({ kind: 'failure', failure: finalFailure });
    this.items.addWithoutWaiting({ kind: 'failure', failure: finalFailure });
    this.items.end();
    this.#options.onInterrupt(finalFailure);
  }

  /** Closes the stream; returns false when it was closed before. */
  #closeOnce(): boolean {
    if (this.signal.aborted) return false;
    this.#abortController.abort();
    this.#options.signal.removeEventListener('abort', this.#onAbort);
    return true;
  }
}

const measureItemBytes = (item: AnswerItem): number =>
  itemOverheadBytes + (item.kind === 'chunk' ? 2 * item.chunk.text.length : 0);

/** Returns the failure given as abort reason, or else `caller_gone`. */
const getAbortFailure = (signal: AbortSignal): Failure =>
  signal.reason instanceof Failure
    ? signal.reason
    : new Failure('caller_gone', 'the caller closed the connection');

const createSlowCallerFailure = (): Failure =>
  new Failure(
    'slow_caller',
    'the caller read too slowly; resume the stream by its id',
  );
