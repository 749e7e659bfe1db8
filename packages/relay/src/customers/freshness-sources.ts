/**
 * Chooses the instances that are asked how recent their configuration is: one of the own
 * data centre, and one of another in case the whole data centre is cut off from the store.
 */

/** Another instance, as far as the choice needs to know it. */
export interface FreshnessSource {
  readonly name: string;
  readonly dataCenter: string;
}

/** What the choice depends on. */
export interface FreshnessSourceChoice {
  /** Other instances that are live and can answer. */
  readonly candidates: readonly FreshnessSource[];
  readonly dataCenter: string;
  /** Instances that read the store on behalf of others; they know most. */
  readonly aggregators: ReadonlySet<string>;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

const maxSources = 2;

const pick = (
  sources: readonly FreshnessSource[],
  { aggregators, random }: FreshnessSourceChoice,
): FreshnessSource | undefined => {
  const preferred = sources.filter(({ name }) => aggregators.has(name));
  const pool = preferred.length > 0 ? preferred : sources;
  return pool[Math.floor(random() * pool.length)];
};

/** Returns the names of at most two instances, in different data centres if possible. */
export const chooseFreshnessSources = (
  choice: FreshnessSourceChoice,
): string[] => {
  const { candidates, dataCenter } = choice;
  const near = candidates.filter(item => item.dataCenter === dataCenter);
  const far = candidates.filter(item => item.dataCenter !== dataCenter);
  const chosen = [pick(near, choice), pick(far, choice)].filter(
    item => item !== undefined,
  );
  if (chosen.length < maxSources) {
    const rest = candidates.filter(item => !chosen.includes(item));
    const another = pick(rest, choice);
    if (another !== undefined) chosen.push(another);
  }
  return chosen.map(({ name }) => name);
};
