/** Demand of the recent past, averaged over windows of several lengths. */
import type { DemandView } from './role-policy.js';

/** Rates of one data centre averaged over a window. */
export interface DemandRates {
  readonly prefillRate: number;
  readonly decodeRate: number;
  readonly requestRate: number;
}

interface DemandSample extends DemandRates {
  readonly atMs: number;
}

export class DemandHistory {
  readonly #retentionMs: number;
  readonly #samples = new Map<string, DemandSample[]>();

  constructor(keepMs: number) {
    this.#retentionMs = keepMs;
  }

  /** Adds the picture of one data centre and drops what is too old. */
  addSample(nowMs: number, demand: DemandView): void {
    const samples = this.#samples.get(demand.dataCenter) ?? [];
    const atMs = nowMs - demand.ageMs;
    if (atMs <= (samples.at(-1)?.atMs ?? -Infinity)) return;
    samples.push({ ...demand, atMs });
    const oldest = nowMs - this.#retentionMs;
    const kept = samples.findIndex(sample => sample.atMs >= oldest);
    // One sample before the window shows that the window is covered.
    samples.splice(0, Math.max(0, kept - 1));
    this.#samples.set(demand.dataCenter, samples);
  }

  /** Mean rates over the window up to `endMs`; `undefined` if not covered. */
  computeMeanRates(
    dataCenter: string,
    endMs: number,
    windowMs: number,
  ): DemandRates | undefined {
    const samples = this.#samples.get(dataCenter) ?? [];
    const from = endMs - windowMs;
    if ((samples[0]?.atMs ?? Infinity) > from) return undefined;
    const inside = samples.filter(
      sample => sample.atMs > from && sample.atMs <= endMs,
    );
    if (inside.length === 0) return undefined;
    const mean = (pick: (rates: DemandRates) => number) =>
      inside.reduce((sum, sample) => sum + pick(sample), 0) / inside.length;
    return {
      prefillRate: mean(rates => rates.prefillRate),
      decodeRate: mean(rates => rates.decodeRate),
      requestRate: mean(rates => rates.requestRate),
    };
  }
}
