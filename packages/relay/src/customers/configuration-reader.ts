/**
 * Reads the operator's table out of turn, for requests whose key is unknown and after a
 * suspension. One read serves all that wait, so that many callers with wrong keys cost the
 * platform no more than one.
 */
import { sleep } from '@medlarlever/core';

/** At most five reads a second, and fewer while they fail: all instances may be reading. */
const minReadIntervalMs = 200;
const maxReadIntervalMs = 1_600;

/** Joins requests for a read. */
export class ConfigurationReader {
  #lastStartMs = -Infinity;
  #intervalMs = minReadIntervalMs;
  #running: Promise<void> = Promise.resolve();
  #next: Promise<void> | undefined;

  /**
   * `read` reads the table once, applies its rows and resolves to true if it succeeded; it
   * reports failures itself.
   */
  constructor(private readonly read: () => Promise<boolean>) {}

  /** Resolves at the end of a read that starts after this call. */
  requestRead(): Promise<void> {
    this.#next ??= this.#startNext(this.#running);
    return this.#next;
  }

  async #startNext(running: Promise<void>): Promise<void> {
    await running;
    const pauseMs = this.#lastStartMs + this.#intervalMs - performance.now();
    if (pauseMs > 0) await sleep(pauseMs);
    this.#lastStartMs = performance.now();
    this.#next = undefined;
    this.#running = this.#readOnce();
    await this.#running;
  }

  async #readOnce(): Promise<void> {
    // A read that fails unexpectedly must not keep back the next ones.
    const hasSucceeded = await this.read().catch(() => false);
    this.#intervalMs = hasSucceeded
      ? minReadIntervalMs
      : Math.min(maxReadIntervalMs, 2 * this.#intervalMs);
  }
}
