/** How many prompt tokens all instances give out to read, from their counts. */

/** Time over which the rate is taken. */
const rateWindowMs = 2_500;

const msPerSecond = 1_000;

interface TokenTotal {
  readonly atMs: number;
  readonly tokens: number;
}

export class PrefillDemand {
  /** Counts of the window by instance and service, oldest first. */
  readonly #totalsByInstance = new Map<string, Map<string, TokenTotal[]>>();

  /** Takes in the running totals of an instance. */
  recordTotals(
    instance: string,
    totals: readonly (readonly [string, number])[],
  ): void {
    const atMs = performance.now();
    const services =
      this.#totalsByInstance.get(instance) ?? new Map<string, TokenTotal[]>();
    this.#totalsByInstance.set(instance, services);
    for (const [service, tokens] of totals) {
      const counts = services.get(service) ?? [];
      const last = counts.at(-1);
      // A total that fell is that of a new process.
      if (last !== undefined && tokens < last.tokens) counts.length = 0;
      counts.push({ atMs, tokens });
      while (
        counts.length > 2 &&
        atMs - (counts[1]?.atMs ?? 0) > rateWindowMs
      ) {
        counts.shift();
      }
      services.set(service, counts);
    }
  }

  /** Tokens a second of the service over all instances. */
  getTokensPerSecond(service: string): number {
    let sum = 0;
    for (const services of this.#totalsByInstance.values()) {
      sum += computeTokensPerSecond(services.get(service) ?? []);
    }
    return sum;
  }
}

const computeTokensPerSecond = (counts: readonly TokenTotal[]): number => {
  const [first] = counts;
  const last = counts.at(-1);
  if (first === undefined || last === undefined) return 0;
  const spanMs = Math.max(rateWindowMs, performance.now() - first.atMs);
  return ((last.tokens - first.tokens) * msPerSecond) / spanMs;
};
