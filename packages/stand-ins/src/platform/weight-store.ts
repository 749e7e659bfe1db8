/** A store of model weights; all concurrent reads share one transfer rate. */
import { sleep } from '@medlarlever/core';

/** Size of one chunk of a read. */
const chunkBytes = 64 * 1024;

/** Serves zero bytes as the weights of any model. */
export class WeightStore {
  #availableAtMs = 0;
  /** Names of the weights whose reads were started, in order. */
  readonly startedReads: string[] = [];

  constructor(
    readonly weightBytes: number,
    readonly bytesPerSecond: number,
  ) {}

  /** Yields the weights in chunks at the shared rate. */
  async *readWeights(name: string): AsyncGenerator<Buffer, void, undefined> {
    this.startedReads.push(name);
    for (
      let sentBytes = 0;
      sentBytes < this.weightBytes;
      sentBytes += chunkBytes
    ) {
      await this.#waitForTurn();
      yield Buffer.alloc(Math.min(chunkBytes, this.weightBytes - sentBytes));
    }
  }

  async #waitForTurn(): Promise<void> {
    const startMs = Math.max(Date.now(), this.#availableAtMs);
    this.#availableAtMs = startMs + (chunkBytes / this.bytesPerSecond) * 1_000;
    await sleep(this.#availableAtMs - Date.now());
  }
}
