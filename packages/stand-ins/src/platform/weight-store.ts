/** A weight store whose readers share one rate. */
import { sleep } from '@medlarlever/core';

const blockBytes = 64 * 1024;

export class WeightStore {
  #freeAtMs = 0;
  /** Reads that were begun, by name of the weights. */
  readonly reads: string[] = [];

  constructor(
    readonly weightBytes: number,
    readonly bytesPerSecond: number,
  ) {}

  async *read(name: string): AsyncGenerator<Buffer, void, undefined> {
    this.reads.push(name);
    for (let sent = 0; sent < this.weightBytes; sent += blockBytes) {
      await this.#waitForTurn();
      yield Buffer.alloc(Math.min(blockBytes, this.weightBytes - sent));
    }
  }

  async #waitForTurn(): Promise<void> {
    const startMs = Math.max(Date.now(), this.#freeAtMs);
    this.#freeAtMs = startMs + (blockBytes / this.bytesPerSecond) * 1_000;
    await sleep(this.#freeAtMs - Date.now());
  }
}
