/** Figures of a replay over time. */
import type { RequestOutcome } from '../replay/request-outcome.js';
import type { ReplayResult } from '../replay/replay.js';

/** One point of a plot. */
export interface TimeSeriesPoint {
  readonly policy: string;
  readonly second: number;
  /** Good answers as a share of those that arrived in the interval. */
  readonly goodput: number;
  /** 95th percentile of the time to the first token. */
  readonly firstTokenMs: number;
  /** Role changes since the start. */
  readonly changes: number;
}

const intervalMs = 10_000;

const computePercentile95 = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * 0.95)] ?? 0;
};

const createPoint = (run: ReplayResult, fromMs: number): TimeSeriesPoint => {
  const inside = ({ request }: RequestOutcome) =>
    request.atMs >= fromMs && request.atMs < fromMs + intervalMs;
  const outcomes = run.outcomes.filter(inside);
  const good = outcomes.filter(outcome => outcome.verdict === 'good').length;
  const firsts = outcomes.flatMap(outcome => outcome.firstTokenMs ?? []);
  const until = fromMs + intervalMs;
  return {
    policy: run.policy,
    second: fromMs / 1_000,
    goodput: outcomes.length === 0 ? 1 : good / outcomes.length,
    firstTokenMs: computePercentile95(firsts),
    changes: run.roleChanges.filter(change => change.atMs < until).length,
  };
};

/** The points of a run, one for each interval of arrivals. */
export const createPoints = (run: ReplayResult): readonly TimeSeriesPoint[] => {
  const count = Math.floor(run.trace.fleet.durationMs / intervalMs);
  return Array.from({ length: count }, (_, n) =>
    createPoint(run, n * intervalMs),
  );
};
