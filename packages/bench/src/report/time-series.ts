/** Computes the figures of a replay by interval of arrival time. */
import type { RequestOutcome } from '../replay/request-outcome.js';
import type { ReplayResult } from '../replay/replay.js';

/** Figures of the requests that arrived in one interval. */
export interface TimeSeriesPoint {
  readonly policy: string;
  /** Start of the interval, in seconds since the start of the trace. */
  readonly second: number;
  /** Share of the requests of the interval with the verdict `good`; 1 if none. */
  readonly goodput: number;
  /** 95th percentile of the time from arrival to the first token; 0 if none. */
  readonly firstTokenMs: number;
  /** Number of role changes from the start of the trace to the interval's end. */
  readonly changes: number;
}

const intervalMs = 10_000;

const computePercentile95 = (values: readonly number[]): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length * 0.95)] ?? 0;
};

const createPoint = (result: ReplayResult, fromMs: number): TimeSeriesPoint => {
  const isInInterval = ({ request }: RequestOutcome) =>
    request.atMs >= fromMs && request.atMs < fromMs + intervalMs;
  const outcomes = result.outcomes.filter(isInInterval);
  const goodCount = outcomes.filter(
    outcome => outcome.verdict === 'good',
  ).length;
  const firstTokenTimesMs = outcomes.flatMap(
    outcome => outcome.firstTokenMs ?? [],
  );
  const untilMs = fromMs + intervalMs;
  return {
    policy: result.policy,
    second: fromMs / 1_000,
    goodput: outcomes.length === 0 ? 1 : goodCount / outcomes.length,
    firstTokenMs: computePercentile95(firstTokenTimesMs),
    changes: result.roleChanges.filter(change => change.atMs < untilMs).length,
  };
};

/** Returns one point per full interval of the trace. */
export const createPoints = (
  result: ReplayResult,
): readonly TimeSeriesPoint[] => {
  const count = Math.floor(result.trace.fleet.durationMs / intervalMs);
  return Array.from({ length: count }, (_, index) =>
    createPoint(result, index * intervalMs),
  );
};
