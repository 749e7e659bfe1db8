/** Keeps recent demand samples and averages them over time windows. */
import type { DemandView } from './role-policy.js';

/**
 * Mean rates of one data centre over a window, per second: uncached prompt
 * tokens, output tokens and requests.
 */
export interface DemandRates {
  readonly prefillRate: number;
  readonly decodeRate: number;
  readonly requestRate: number;
}

interface DemandSample extends DemandRates {
  /** Time of the sample in epoch milliseconds. */
  readonly atMs: number;
}

/**
 * Demand samples of each data centre within a retention time in milliseconds.
 */
export class DemandHistory {
  readonly #retentionMs: number;
  readonly #samples = new Map<string, DemandSample[]>();

  constructor(retentionMs: number) {
    this.#retentionMs = retentionMs;
  }

  /**
   * Adds a sample of the demand of one data centre and removes the samples that
   * are too old. A sample not newer than the last one is ignored.
   */
  addSample(nowMs: number, demand: DemandView): void {
    const samples = this.#samples.get(demand.dataCenter) ?? [];
    const atMs = nowMs - demand.ageMs;
    if (atMs <= (samples.at(-1)?.atMs ?? -Infinity)) return;
    samples.push({ ...demand, atMs });
    const oldestMs = nowMs - this.#retentionMs;
    const firstKeptIndex = samples.findIndex(sample => sample.atMs >= oldestMs);
    // Keep one sample before the window; it shows that the samples cover the
    // whole window.
    samples.splice(0, Math.max(0, firstKeptIndex - 1));
    this.#samples.set(demand.dataCenter, samples);
  }

  /**
   * Returns the mean rates over the window that ends at `endMs`, in epoch
   * milliseconds, or `undefined` if the samples do not cover the window.
   */
  computeMeanRates(
    dataCenter: string,
    endMs: number,
    windowMs: number,
  ): DemandRates | undefined {
    const samples = this.#samples.get(dataCenter) ?? [];
    const startMs = endMs - windowMs;
    if ((samples[0]?.atMs ?? Infinity) > startMs) return undefined;
    const windowSamples = samples.filter(
      sample => sample.atMs > startMs && sample.atMs <= endMs,
    );
    if (windowSamples.length === 0) return undefined;
    const computeMean = (getRate: (rates: DemandRates) => number) =>
      windowSamples.reduce((sum, sample) => sum + getRate(sample), 0) /
      windowSamples.length;
    return {
      prefillRate: computeMean(rates => rates.prefillRate),
      decodeRate: computeMean(rates => rates.decodeRate),
      requestRate: computeMean(rates => rates.requestRate),
    };
  }
}
