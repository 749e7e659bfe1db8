/** The part of an answer that has come, put in order. */
import type { Chunk } from '../target/target.js';

export class ChunkBuffer {
  readonly #texts: string[] = [];
  readonly #outOfOrderChunks = new Map<number, Chunk>();

  /** `first` is the index of the first chunk that is wanted. */
  constructor(readonly firstIndex = 0) {}

  /** Index of the next chunk in order. */
  get nextIndex(): number {
    return this.firstIndex + this.#texts.length;
  }

  /** True while a later chunk has come before an earlier one. */
  get hasGap(): boolean {
    return this.#outOfOrderChunks.size > 0;
  }

  get texts(): readonly string[] {
    return this.#texts;
  }

  /** Takes a chunk and returns those that are now in order. */
  acceptChunk(chunk: Chunk): Chunk[] {
    if (chunk.index < this.nextIndex) return [];
    this.#outOfOrderChunks.set(chunk.index, chunk);
    const ready: Chunk[] = [];
    for (;;) {
      const following = this.#outOfOrderChunks.get(this.nextIndex);
      if (following === undefined) return ready;
      this.#outOfOrderChunks.delete(following.index);
      this.#texts.push(following.text);
      ready.push(following);
    }
  }
}
