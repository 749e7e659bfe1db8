/** A random number generator whose values depend only on the seed. */
import { xoroshiro128plus } from 'pure-rand';

const uint32ValueCount = 2 ** 32;

/** Random numbers, choices and samples. */
export class SeededRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly nextFraction = (): number =>
    (this.#generator.unsafeNext() >>> 0) / uint32ValueCount;

  /** Returns an integer that can seed another generator. */
  nextInteger(): number {
    return this.#generator.unsafeNext();
  }

  /** Returns a number from `min` (inclusive) to `max` (exclusive). */
  nextBetween(min: number, max: number): number {
    return min + this.nextFraction() * (max - min);
  }

  /** Returns true with the given probability. */
  nextBoolean(probability: number): boolean {
    return this.nextFraction() < probability;
  }

  /** Returns one of the items; throws for an empty list. */
  pickItem<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.nextFraction() * items.length)];
    if (item === undefined)
      throw new Error('cannot pick an item from an empty list');
    return item;
  }

  /** Returns up to `count` different items in random order. */
  sampleItems<T>(items: readonly T[], count: number): T[] {
    const remaining = [...items];
    const sample: T[] = [];
    while (sample.length < count && remaining.length > 0) {
      const item = this.pickItem(remaining);
      remaining.splice(remaining.indexOf(item), 1);
      sample.push(item);
    }
    return sample;
  }
}
