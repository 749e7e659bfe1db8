/** A fault that a run injects from outside the processes. */
import type { SoakRun } from '../run/soak-run.js';
import type { SeededRandom } from '../shared/seeded-random.js';

export abstract class Fault {
  abstract readonly name: string;
  /**
   * Harms something and lets it recover; resolves when it is over. What it
   * draws follows from the seed, whatever else goes on.
   */
  abstract inject(scene: SoakRun, random: SeededRandom): Promise<void>;
}

const msPerSecond = 1_000;

/** Waits a time between both bounds, in seconds. */
export const waitBetweenSeconds = (
  random: SeededRandom,
  low: number,
  high: number,
): Promise<void> => {
  const ms = random.nextBetween(low, high) * msPerSecond;
  return new Promise(resolve => setTimeout(resolve, ms));
};
