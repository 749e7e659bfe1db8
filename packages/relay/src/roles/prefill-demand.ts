/** How many prompt tokens all instances give out to read, from their counts. */

/** Time over which the rate is taken. */
const windowMs = 2_500;

const msPerSecond = 1_000;

interface Count {
  readonly atMs: number;
  readonly tokens: number;
}

export class ReadingDemand {
  /** Counts of the window by instance and service, oldest first. */
  readonly #counts = new Map<string, Map<string, Count[]>>();

  /** Takes in the running totals of an instance. */
  heard(
    instance: string,
    totals: readonly (readonly [string, number])[],
  ): void {
    const atMs = performance.now();
    const services = this.#counts.get(instance) ?? new Map<string, Count[]>();
    this.#counts.set(instance, services);
    for (const [service, tokens] of totals) {
      const counts = services.get(service) ?? [];
      const last = counts.at(-1);
      // A total that fell is that of a new process.
      if (last !== undefined && tokens < last.tokens) counts.length = 0;
      counts.push({ atMs, tokens });
      while (counts.length > 2 && atMs - (counts[1]?.atMs ?? 0) > windowMs) {
        counts.shift();
      }
      services.set(service, counts);
    }
  }

  /** Tokens a second of the service over all instances. */
  rate(service: string): number {
    let sum = 0;
    for (const services of this.#counts.values()) {
      sum += rateOf(services.get(service) ?? []);
    }
    return sum;
  }
}

const rateOf = (counts: readonly Count[]): number => {
  const [first] = counts;
  const last = counts.at(-1);
  if (first === undefined || last === undefined) return 0;
  const spanMs = Math.max(windowMs, performance.now() - first.atMs);
  return ((last.tokens - first.tokens) * msPerSecond) / spanMs;
};
