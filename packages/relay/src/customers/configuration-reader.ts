/**
 * Reads the operator's table out of turn, for requests whose key is unknown and after a
 * suspension. One read serves all that wait, so that many callers with wrong keys cost the
 * platform no more than one.
 */
import { sleep } from '@medlarlever/core';

/** At most five reads a second. */
const minReadIntervalMs = 200;

/** Joins requests for a read. */
export class ConfigurationReader {
  #lastStartMs = -Infinity;
  #running: Promise<void> = Promise.resolve();
  #next: Promise<void> | undefined;

  /** `read` reads the table once and applies its rows; it reports failures itself. */
  constructor(private readonly read: () => Promise<void>) {}

  /** Resolves at the end of a read that starts after this call. */
  requestRead(): Promise<void> {
    this.#next ??= this.#startNext(this.#running);
    return this.#next;
  }

  async #startNext(running: Promise<void>): Promise<void> {
    await running;
    const pauseMs = this.#lastStartMs + minReadIntervalMs - performance.now();
    if (pauseMs > 0) await sleep(pauseMs);
    this.#lastStartMs = performance.now();
    this.#next = undefined;
    // A read that fails unexpectedly must not keep back the next ones.
    this.#running = this.read().catch(() => undefined);
    await this.#running;
  }
}
