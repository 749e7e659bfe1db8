/** Upper bound of a number of independent events with a known mean. */

/** Accepted probability that a number exceeds its bound. */
const excessProbability = 1e-7;

const boundByMean = new Map<number, number>();

const computeBound = (mean: number): number => {
  let count = 0;
  let probability = Math.exp(-mean);
  let cumulative = probability;
  while (1 - cumulative > excessProbability) {
    count += 1;
    probability *= mean / count;
    cumulative += probability;
    if (probability === 0) return count;
  }
  return count;
};

/** Returns the smallest number that a Poisson variable hardly ever exceeds. */
export const boundPoisson = (mean: number): number => {
  const known = boundByMean.get(mean);
  if (known !== undefined) return known;
  // Means follow from counts of instances and engines, so there are few of them.
  if (boundByMean.size > 1_000) boundByMean.clear();
  const bound = computeBound(mean);
  boundByMean.set(mean, bound);
  return bound;
};
