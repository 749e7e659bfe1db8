/**
 * Computes the rate at which all instances send prompt tokens to targets for
 * prefill, from the running totals that each instance reports.
 */

/** Longest time over which the rate is averaged. */
const rateWindowMs = 2_500;

/** Shortest time over which a rate is averaged; reports come every 150 to 600 ms. */
const burstWindowMs = 1_000;

const msPerSecond = 1_000;

/** Running total of prompt tokens at one point in time. */
interface TokenTotal {
  /** Receipt time in milliseconds on the monotonic clock. */
  readonly atMs: number;
  readonly tokens: number;
}

/** Aggregates the prompt token rate by service over all instances. */
export class PrefillDemand {
  /** Samples in the window by instance and service, oldest first. */
  readonly #totalsByInstance = new Map<string, Map<string, TokenTotal[]>>();

  /** Records an instance's running totals, as pairs of service and tokens. */
  recordTotals(
    instance: string,
    totals: readonly (readonly [string, number])[],
  ): void {
    const atMs = performance.now();
    const samplesByService =
      this.#totalsByInstance.get(instance) ?? new Map<string, TokenTotal[]>();
    this.#totalsByInstance.set(instance, samplesByService);
    for (const [service, tokens] of totals) {
      const samples = samplesByService.get(service) ?? [];
      const last = samples.at(-1);
      // A decreased total comes from a restarted process, so older samples no
      // longer apply.
      if (last !== undefined && tokens < last.tokens) samples.length = 0;
      samples.push({ atMs, tokens });
      while (
        samples.length > 2 &&
        atMs - (samples[1]?.atMs ?? 0) > rateWindowMs
      ) {
        samples.shift();
      }
      samplesByService.set(service, samples);
    }
  }

  /** Returns the service's prompt tokens per second over all instances. */
  getTokensPerSecond(service: string): number {
    let tokensPerSecond = 0;
    for (const samplesByService of this.#totalsByInstance.values()) {
      tokensPerSecond += computeTokensPerSecond(
        samplesByService.get(service) ?? [],
      );
    }
    return tokensPerSecond;
  }

  /**
   * Returns the service's prompt tokens per second in the last second, by the instance
   * that sent them or that reported the sum of its data centre.
   */
  listBurstRates(service: string): readonly (readonly [string, number])[] {
    return [...this.#totalsByInstance].map(([instance, samplesByService]) => [
      instance,
      computeBurstRate(samplesByService.get(service) ?? []),
    ]);
  }
}

/**
 * Totals are reported when they change, so that the last one before the window may be
 * old. Its increase counts for no more than `rateWindowMs`.
 */
const computeBurstRate = (samples: readonly TokenTotal[]): number => {
  const startMs = performance.now() - burstWindowMs;
  const first =
    samples.findLast(({ atMs }) => atMs <= startMs) ?? samples.at(0);
  const last = samples.at(-1);
  if (first === undefined || last === undefined || last.atMs <= startMs)
    return 0;
  const elapsedMs = Math.min(
    rateWindowMs,
    Math.max(burstWindowMs, last.atMs - first.atMs),
  );
  return ((last.tokens - first.tokens) * msPerSecond) / elapsedMs;
};

const computeTokensPerSecond = (samples: readonly TokenTotal[]): number => {
  const [first] = samples;
  const last = samples.at(-1);
  if (first === undefined || last === undefined) return 0;
  const elapsedMs = Math.max(burstWindowMs, performance.now() - first.atMs);
  return ((last.tokens - first.tokens) * msPerSecond) / elapsedMs;
};
