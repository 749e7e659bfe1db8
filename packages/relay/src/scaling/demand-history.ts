/** Demand of the last seconds, from which its peaks are taken. */
import type { DataCenterView } from './scaling-view.js';

/** Age at which samples are dropped, the longest window that is asked for. */
const maxSampleAgeMs = 30_000;

/** Demand at one point in time. */
interface DemandSample {
  readonly atMs: number;
  readonly tokensPerSecond: ReadonlyMap<string, number>;
  readonly totalTokensPerSecond: number;
  readonly runningRequests: number;
}

/** Highest demand within a window. */
export interface PeakDemand {
  readonly tokensPerSecond: number;
  readonly runningRequests: number;
}

/** Samples of the demand, oldest first. */
export class DemandHistory {
  #samples: DemandSample[] = [];
  #startedAtMs: number | undefined;

  /** Adds the demand at a time of the monotonic clock. */
  addSample(nowMs: number, dataCenters: readonly DataCenterView[]): void {
    this.#startedAtMs ??= nowMs;
    this.#samples = this.#samples.filter(
      ({ atMs }) => nowMs - atMs <= maxSampleAgeMs,
    );
    this.#samples.push({
      atMs: nowMs,
      tokensPerSecond: new Map(
        dataCenters.map(({ name, prefillTokensPerSecond }) => [
          name,
          prefillTokensPerSecond,
        ]),
      ),
      totalTokensPerSecond: sumOf(
        dataCenters,
        dataCenter => dataCenter.prefillTokensPerSecond,
      ),
      runningRequests: sumOf(
        dataCenters,
        dataCenter => dataCenter.runningRequests,
      ),
    });
  }

  /** Forgets all samples, which don't join up with the next one. */
  clear(): void {
    this.#samples = [];
    this.#startedAtMs = undefined;
  }

  /** Time since the first sample. */
  getDurationMs(nowMs: number): number {
    return this.#startedAtMs === undefined ? 0 : nowMs - this.#startedAtMs;
  }

  /** Returns the time of the newest sample. */
  get newestAtMs(): number | undefined {
    return this.#samples.at(-1)?.atMs;
  }

  /** Returns the highest demand of the last `windowMs` milliseconds. */
  getPeak(nowMs: number, windowMs: number): PeakDemand {
    const samples = this.#listSamples(nowMs, windowMs);
    return {
      tokensPerSecond: Math.max(
        0,
        ...samples.map(sample => sample.totalTokensPerSecond),
      ),
      runningRequests: Math.max(
        0,
        ...samples.map(sample => sample.runningRequests),
      ),
    };
  }

  /**
   * Returns the share of each data centre's callers in the tokens of the last
   * `windowMs` milliseconds; equal shares if there were none.
   */
  getShares(
    dataCenters: readonly string[],
    nowMs: number,
    windowMs: number,
  ): ReadonlyMap<string, number> {
    const samples = this.#listSamples(nowMs, windowMs);
    const tokens = dataCenters.map(dataCenter =>
      sumOf(samples, sample => sample.tokensPerSecond.get(dataCenter) ?? 0),
    );
    const total = sumOf(tokens, value => value);
    return new Map(
      dataCenters.map((dataCenter, i) => [
        dataCenter,
        total > 0 ? (tokens[i] ?? 0) / total : 1 / dataCenters.length,
      ]),
    );
  }

  #listSamples(nowMs: number, windowMs: number): readonly DemandSample[] {
    return this.#samples.filter(({ atMs }) => nowMs - atMs <= windowMs);
  }
}

const sumOf = <T>(items: readonly T[], getValue: (item: T) => number): number =>
  items.reduce((sum, item) => sum + getValue(item), 0);
