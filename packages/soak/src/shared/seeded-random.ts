/** Draws that depend on the seed alone. */
import { xoroshiro128plus } from 'pure-rand';

const uint32ValueCount = 2 ** 32;

export class SeededRandom {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** From 0 to below 1. */
  readonly nextFraction = (): number =>
    (this.#generator.unsafeNext() >>> 0) / uint32ValueCount;

  /** A number that may serve as a seed. */
  nextInteger(): number {
    return this.#generator.unsafeNext();
  }

  nextBetween(low: number, high: number): number {
    return low + this.nextFraction() * (high - low);
  }

  nextBoolean(share: number): boolean {
    return this.nextFraction() < share;
  }

  pickItem<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.nextFraction() * items.length)];
    if (item === undefined) throw new Error('there is nothing to pick from');
    return item;
  }

  /** Up to `count` different items. */
  sampleItems<T>(items: readonly T[], count: number): T[] {
    const left = [...items];
    const taken: T[] = [];
    while (taken.length < count && left.length > 0) {
      const item = this.pickItem(left);
      left.splice(left.indexOf(item), 1);
      taken.push(item);
    }
    return taken;
  }
}
