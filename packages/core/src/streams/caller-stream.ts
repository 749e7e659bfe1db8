/** A bounded stream toward a caller, with one final item at once. */
import { BoundedBuffer } from '../limits/bounded-buffer.js';
import { Failure } from '../shared/failure.js';
import type { ExecutionStatus } from '../shared/failure.js';

import type { AnswerItem } from './generation-dispatcher.js';

export interface CallerStreamOptions {
  readonly signal: AbortSignal;
  readonly bufferBytes: number;
  readonly stallTimeoutMs: number;
  /** Whether an interrupted answer may have been run. */
  readonly executed: () => ExecutionStatus;
  /** Called once when the stream ends before its answer. */
  readonly onInterrupt: (failure: Failure) => void;
  readonly onItem?: (item: AnswerItem) => void;
}

/** Bytes that an item takes beside its text. */
const itemOverheadBytes = 64;

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

  /** Follows the caller's signal from now on. */
  followSignal(): void {
    const { signal } = this.#options;
    signal.addEventListener('abort', this.#onAbort, { once: true });
    if (signal.aborted) this.#onAbort();
  }

  /** Aborted once nothing more is wanted for the caller. */
  get signal(): AbortSignal {
    return this.#abortController.signal;
  }

  /** Passes an item on; a caller that reads too slowly is detached. */
  async pushItem(item: AnswerItem): Promise<boolean> {
    if (this.signal.aborted) return false;
    const added = await this.items.push(item);
    if (added) this.#options.onItem?.(item);
    else this.interruptStream(createSlowCallerFailure());
    return added;
  }

  /** Passes on the final item. */
  finishStream(item: AnswerItem): void {
    if (!this.#closeOnce()) return;
    this.#options.onItem?.(item);
    this.items.addWithoutWaiting(item);
    this.items.end();
  }

  /** Ends the stream at once with a failure. */
  interruptStream(failure: Failure): void {
    const final = failure.withExecuted(this.#options.executed());
    if (!this.#closeOnce()) return;
    this.#options.onItem?.({ kind: 'failure', failure: final });
    this.items.addWithoutWaiting({ kind: 'failure', failure: final });
    this.items.end();
    this.#options.onInterrupt(final);
  }

  /** False when the stream was closed before. */
  #closeOnce(): boolean {
    if (this.signal.aborted) return false;
    this.#abortController.abort();
    this.#options.signal.removeEventListener('abort', this.#onAbort);
    return true;
  }
}

const measureItemBytes = (item: AnswerItem): number =>
  itemOverheadBytes + (item.kind === 'chunk' ? 2 * item.chunk.text.length : 0);

/** The caller's going, unless the abort names another reason. */
const getAbortFailure = (signal: AbortSignal): Failure =>
  signal.reason instanceof Failure
    ? signal.reason
    : new Failure('caller_gone', 'the caller has gone');

const createSlowCallerFailure = (): Failure =>
  new Failure('slow_caller', 'the caller read too slowly; rejoin the stream');
