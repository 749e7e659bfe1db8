/** The part of an answer that has come, put in order. */
import type { Chunk } from '../target/target.js';

export class AnswerText {
  readonly #texts: string[] = [];
  readonly #early = new Map<number, Chunk>();

  /** `first` is the index of the first chunk that is wanted. */
  constructor(readonly first = 0) {}

  /** Index of the next chunk in order. */
  get next(): number {
    return this.first + this.#texts.length;
  }

  /** True while a later chunk has come before an earlier one. */
  get hasGap(): boolean {
    return this.#early.size > 0;
  }

  get texts(): readonly string[] {
    return this.#texts;
  }

  /** Takes a chunk and returns those that are now in order. */
  accept(chunk: Chunk): Chunk[] {
    if (chunk.index < this.next) return [];
    this.#early.set(chunk.index, chunk);
    const ready: Chunk[] = [];
    for (;;) {
      const following = this.#early.get(this.next);
      if (following === undefined) return ready;
      this.#early.delete(following.index);
      this.#texts.push(following.text);
      ready.push(following);
    }
  }
}
