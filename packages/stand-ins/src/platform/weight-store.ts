/** A weight store whose readers share one rate. */
import { sleep } from '@medlarlever/core';

const chunkBytes = 64 * 1024;

export class WeightStore {
  #availableAtMs = 0;
  /** Reads that were begun, by name of the weights. */
  readonly startedReads: string[] = [];

  constructor(
    readonly weightBytes: number,
    readonly bytesPerSecond: number,
  ) {}

  async *readWeights(name: string): AsyncGenerator<Buffer, void, undefined> {
    this.startedReads.push(name);
    for (let sent = 0; sent < this.weightBytes; sent += chunkBytes) {
      await this.#waitForTurn();
      yield Buffer.alloc(Math.min(chunkBytes, this.weightBytes - sent));
    }
  }

  async #waitForTurn(): Promise<void> {
    const startMs = Math.max(Date.now(), this.#availableAtMs);
    this.#availableAtMs = startMs + (chunkBytes / this.bytesPerSecond) * 1_000;
    await sleep(this.#availableAtMs - Date.now());
  }
}
