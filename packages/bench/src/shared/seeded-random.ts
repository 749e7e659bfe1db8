/** Random numbers that depend on the seed alone. */
import { xoroshiro128plus } from 'pure-rand';

const uint32ValueCount = 2 ** 32;

/** Uniform numbers from 0 to below 1, the same for the same seed. */
export const createSeededRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => (generator.unsafeNext() >>> 0) / uint32ValueCount;
};

/** A whole number between both bounds, both included. */
export const drawInteger = (
  random: () => number,
  [low, high]: readonly [number, number],
): number => low + Math.floor(random() * (high - low + 1));

/** Time to the next event of a Poisson process. */
export const drawExponential = (random: () => number, mean: number): number =>
  -Math.log(1 - random()) * mean;
