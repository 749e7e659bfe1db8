/** Buffer of one answer between its target and a caller that may read slowly. */
import type { Caller } from '../requests/relay-request.js';

import { maxCallerBytes } from './caller-buffers.js';
import type { BufferedAnswer, CallerBuffers } from './caller-buffers.js';

/** Interval at which a full buffer is checked for space. */
const spaceCheckIntervalMs = 25;

/** Share of the buffer that must be free before the target is read again. */
const freeShareToReadOn = 0.5;

/** Options of an {@link AnswerBuffer}. */
export interface AnswerBufferOptions {
  readonly buffers: CallerBuffers;
  readonly caller: Caller;
  readonly requestId: string;
  readonly isResumable: boolean;
  /** Ends the request, because the buffers of the instance are full. */
  readonly onGiveWay: () => void;
}

/** Lets the target be read until the caller's part of the buffers is full. */
export class AnswerBuffer implements BufferedAnswer {
  readonly #options: AnswerBufferOptions;
  #heldBytes = 0;
  #isPaused = false;

  constructor(options: AnswerBufferOptions) {
    this.#options = options;
  }

  get bufferedBytes(): number {
    return this.#options.caller.bufferedBytes + this.#heldBytes;
  }

  get isResumable(): boolean {
    return this.#options.isResumable;
  }

  get requestId(): string {
    return this.#options.requestId;
  }

  /** True while the target is not read, because the caller does not read. */
  get isPaused(): boolean {
    return this.#isPaused;
  }

  giveWay(): void {
    this.#heldBytes = 0;
    this.#options.onGiveWay();
  }

  /**
   * Writes bytes to the caller; false if the target must not be read until
   * `waitForSpace` resolves.
   */
  write(bytes: Buffer): boolean {
    const { caller, buffers } = this.#options;
    const isWritable = caller.write(bytes);
    if (!buffers.isEnabled) return isWritable;
    buffers.update(this);
    return isWritable || caller.bufferedBytes < maxCallerBytes;
  }

  /** Counts bytes of the answer that are kept back from the caller. */
  hold(bytes: number): void {
    if (bytes === this.#heldBytes) return;
    this.#heldBytes = bytes;
    this.#options.buffers.update(this);
  }

  /** Resolves when the target may be read again or the caller has disconnected. */
  async waitForSpace(): Promise<void> {
    const { caller, buffers } = this.#options;
    this.#isPaused = true;
    if (buffers.isEnabled) await this.#waitForFreeShare();
    else await caller.waitForDrain();
    this.#isPaused = false;
  }

  #waitForFreeShare(): Promise<void> {
    const { caller } = this.#options;
    return new Promise(resolve => {
      const timer = setInterval(() => {
        const hasSpace =
          caller.bufferedBytes <= maxCallerBytes * freeShareToReadOn;
        if (!hasSpace && !caller.disconnectSignal.aborted) return;
        clearInterval(timer);
        resolve();
      }, spaceCheckIntervalMs);
    });
  }
}
