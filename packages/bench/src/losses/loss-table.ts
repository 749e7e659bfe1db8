/** Says of each request whether it was served in time and, if not, for what reason. */
import type { RequestEnd } from './request-log.js';

/** Latency targets in milliseconds by route. */
export type LatencyTargets = ReadonlyMap<string, number>;

/** Reasons for which a request was answered late. */
const lateReasons = {
  expected: 'late, as expected when it was placed',
  prefill: 'late, prefill slower than expected',
  decode: 'late, after the prefill',
  other: 'late',
} as const;

const inTime = 'in time';

const findLateReason = (end: RequestEnd, targetMs: number): string => {
  const { first_ms: firstMs, read_ms: readMs, expected_ms: expectedMs } = end;
  if (expectedMs === undefined) return lateReasons.other;
  if (expectedMs > targetMs) return lateReasons.expected;
  if (readMs === undefined) return lateReasons.decode;
  const isPrefillSlow = readMs - expectedMs > firstMs - readMs;
  return isPrefillSlow ? lateReasons.prefill : lateReasons.decode;
};

/** Returns how the request ended, in words. */
export const classifyEnd = (
  end: RequestEnd,
  targets: LatencyTargets,
): string => {
  if (end.outcome === 'caller_gone' && end.sends === 0)
    return end.tokens === undefined
      ? 'caller left before it was placed'
      : 'caller left before it was sent';
  if (end.outcome !== 'answered') return end.outcome;
  const targetMs = targets.get(end.route) ?? Infinity;
  return end.first_ms <= targetMs ? inTime : findLateReason(end, targetMs);
};

/** Number of requests by reason, the most frequent first. */
export type ReasonCounts = ReadonlyMap<string, number>;

const countReasons = (
  ends: readonly RequestEnd[],
  targets: LatencyTargets,
): ReasonCounts => {
  const counts = new Map<string, number>();
  for (const end of ends) {
    const reason = classifyEnd(end, targets);
    counts.set(reason, (counts.get(reason) ?? 0) + 1);
  }
  return new Map([...counts].sort(([, a], [, b]) => b - a));
};

const groupBy = <K>(
  ends: readonly RequestEnd[],
  getKey: (end: RequestEnd) => K,
): Map<K, RequestEnd[]> => {
  const groups = new Map<K, RequestEnd[]>();
  for (const end of ends) {
    const key = getKey(end);
    const group = groups.get(key) ?? [];
    group.push(end);
    groups.set(key, group);
  }
  return groups;
};

const findQuantile = (
  values: readonly number[],
  share: number,
): number | undefined => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(share * (sorted.length - 1))];
};

/** Times to the first event of the answered requests of one kind. */
export interface PathTimes {
  readonly path: string;
  readonly count: number;
  readonly medianMs: number | undefined;
  /** Reached by 90 in 100. */
  readonly highMs: number | undefined;
}

const pathNames = {
  plain: 'plain',
  colocated: 'prefilled and decoded by one engine',
  dedicated: 'prefilled by another engine',
} as const;

const findPath = ({ tokens, prefill }: RequestEnd): string => {
  if (tokens === undefined) return pathNames.plain;
  return prefill === undefined ? pathNames.colocated : pathNames.dedicated;
};

const summarizePaths = (ends: readonly RequestEnd[]): PathTimes[] =>
  [
    ...groupBy(
      ends.filter(end => end.outcome === 'answered'),
      findPath,
    ),
  ].map(([path, group]) => {
    const firstMs = group.map(end => end.first_ms);
    return {
      path,
      count: group.length,
      medianMs: findQuantile(firstMs, 0.5),
      highMs: findQuantile(firstMs, 0.9),
    };
  });

/** Losses of one route or of one span of time. */
export interface LossRow {
  readonly label: string;
  readonly reasons: ReasonCounts;
  readonly paths: readonly PathTimes[];
}

const createRow = (
  label: string,
  ends: readonly RequestEnd[],
  targets: LatencyTargets,
): LossRow => ({
  label,
  reasons: countReasons(ends, targets),
  paths: summarizePaths(ends),
});

/** Returns a row a route and a row for each `spanS` seconds. */
export const createLossTable = (
  ends: readonly RequestEnd[],
  targets: LatencyTargets,
  spanS: number,
): { readonly routes: LossRow[]; readonly spans: LossRow[] } => {
  const routes = [...groupBy(ends, ({ route }) => route)]
    .sort(([a], [b]) => a.localeCompare(b))
    .map(([route, group]) => createRow(route, group, targets));
  const spans = [...groupBy(ends, ({ atS }) => Math.floor(atS / spanS))]
    .sort(([a], [b]) => a - b)
    .map(([span, group]) => createRow(`${span * spanS} s`, group, targets));
  return { routes, spans };
};
