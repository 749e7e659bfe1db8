/** Draws that depend on the seed alone. */
import { xoroshiro128plus } from 'pure-rand';

const uint32Values = 2 ** 32;

export class Random {
  readonly #generator;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  /** From 0 to below 1. */
  readonly next = (): number =>
    (this.#generator.unsafeNext() >>> 0) / uint32Values;

  /** A number that may serve as a seed. */
  integer(): number {
    return this.#generator.unsafeNext();
  }

  between(low: number, high: number): number {
    return low + this.next() * (high - low);
  }

  chance(share: number): boolean {
    return this.next() < share;
  }

  pick<T>(items: readonly T[]): T {
    const item = items[Math.floor(this.next() * items.length)];
    if (item === undefined) throw new Error('there is nothing to pick from');
    return item;
  }

  /** Up to `count` different items. */
  sample<T>(items: readonly T[], count: number): T[] {
    const left = [...items];
    const taken: T[] = [];
    while (taken.length < count && left.length > 0) {
      const item = this.pick(left);
      left.splice(left.indexOf(item), 1);
      taken.push(item);
    }
    return taken;
  }
}
