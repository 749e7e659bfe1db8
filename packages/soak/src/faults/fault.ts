/**
 * Base class of the faults that a soak run injects from outside the instance
 * processes.
 */
import type { FaultScene } from './fault-scene.js';
import type { SeededRandom } from '../shared/seeded-random.js';

/** A kind of fault. */
export abstract class Fault {
  abstract readonly name: string;
  /**
   * Injects the fault and ends it; resolves when the fault is over. All random
   * choices come from `random`, so that they depend only on the seed.
   */
  abstract inject(run: FaultScene, random: SeededRandom): Promise<void>;
}

const msPerSecond = 1_000;

/** Waits for a random time between the two bounds, which are in seconds. */
export const waitBetweenSeconds = (
  random: SeededRandom,
  minSeconds: number,
  maxSeconds: number,
): Promise<void> => {
  const ms = random.nextBetween(minSeconds, maxSeconds) * msPerSecond;
  return new Promise(resolve => setTimeout(resolve, ms));
};
