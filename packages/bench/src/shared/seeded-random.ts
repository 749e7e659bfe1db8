/** Reproducible random numbers: the same seed gives the same sequence. */
import { xoroshiro128plus } from 'pure-rand';

const uint32ValueCount = 2 ** 32;

/** Creates a function that returns uniform random numbers in [0, 1). */
export const createSeededRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => (generator.unsafeNext() >>> 0) / uint32ValueCount;
};

/** Draws a uniform integer between the two bounds, both included. */
export const drawInteger = (
  random: () => number,
  [min, max]: readonly [number, number],
): number => min + Math.floor(random() * (max - min + 1));

/**
 * Draws an exponentially distributed value with the given mean, such as the time
 * between two events of a Poisson process.
 */
export const drawExponential = (random: () => number, mean: number): number =>
  -Math.log(1 - random()) * mean;
