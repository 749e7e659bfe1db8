/** Puts the chunks of an answer in order of their index. */
import type { Chunk } from '../target/target.js';

/** Keeps the received chunks and drops duplicates. */
export class ChunkBuffer {
  readonly #texts: string[] = [];
  readonly #outOfOrderChunks = new Map<number, Chunk>();

  /** Chunks with an index below `firstIndex` are ignored. */
  constructor(readonly firstIndex = 0) {}

  /** Index that follows the last chunk in order. */
  get nextIndex(): number {
    return this.firstIndex + this.#texts.length;
  }

  /** True while a chunk is missing before one that was received. */
  get hasGap(): boolean {
    return this.#outOfOrderChunks.size > 0;
  }

  /** Texts of the chunks in order, starting at `firstIndex`. */
  get texts(): readonly string[] {
    return this.#texts;
  }

  /**
   * Adds a chunk and returns the chunks that can be delivered now: the chunk
   * and its buffered successors, or none while an earlier chunk is missing.
   */
  acceptChunk(chunk: Chunk): Chunk[] {
    if (chunk.index < this.nextIndex) return [];
    this.#outOfOrderChunks.set(chunk.index, chunk);
    const orderedChunks: Chunk[] = [];
    for (;;) {
      const nextChunk = this.#outOfOrderChunks.get(this.nextIndex);
      if (nextChunk === undefined) return orderedChunks;
      this.#outOfOrderChunks.delete(nextChunk.index);
      this.#texts.push(nextChunk.text);
      orderedChunks.push(nextChunk);
    }
  }
}
