/** A fault that a run injects from outside the processes. */
import type { Scene } from '../run/soak-run.js';
import type { Random } from '../shared/seeded-random.js';

export abstract class Fault {
  abstract readonly name: string;
  /**
   * Harms something and lets it recover; resolves when it is over. What it
   * draws follows from the seed, whatever else goes on.
   */
  abstract inject(scene: Scene, random: Random): Promise<void>;
}

const msPerSecond = 1_000;

/** Waits a time between both bounds, in seconds. */
export const passBetween = (
  random: Random,
  low: number,
  high: number,
): Promise<void> => {
  const ms = random.between(low, high) * msPerSecond;
  return new Promise(resolve => setTimeout(resolve, ms));
};
