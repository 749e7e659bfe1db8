/** Computes the figures of a replay: goodput, latency and role changes. */
import { build } from 'hdr-histogram-js';

import type { RequestOutcome, Verdict } from './request-outcome.js';
import type { ReplayResult } from './replay.js';

/** Class of a generation, or `operation` for a call to a plain service. */
export type TrafficClass = 'interactive' | 'standard' | 'batch' | 'operation';

export const trafficClasses: readonly TrafficClass[] = [
  'interactive',
  'standard',
  'batch',
  'operation',
];

/** Number of requests by verdict. */
export type VerdictCounts = Readonly<Record<Verdict, number>>;

/** Figures of one replay. Shares are from 0 to 1, times in milliseconds. */
export interface ReplayFigures {
  readonly trace: string;
  readonly seed: number;
  readonly policy: string;
  /** Number of requests in the trace. */
  readonly offered: number;
  readonly verdicts: VerdictCounts;
  /** Share of the offered requests with the verdict `good`. */
  readonly goodput: number;
  readonly goodputByClass: Readonly<Partial<Record<TrafficClass, number>>>;
  readonly roleChanges: number;
  /**
   * Share of the admitted generations whose prefill and decode ran on different
   * engines.
   */
  readonly splitShare: number;
  /** Share of the admitted generations with the first token within its limit. */
  readonly firstTokenShare: number;
  readonly firstTokenP95Ms: number;
  /**
   * Share of the admitted generations whose mean time between tokens is at most
   * `maxTokenGapMs`.
   */
  readonly tokenGapShare: number;
  readonly tokenGapP95Ms: number;
}

/** Limit of the mean time between the tokens of an answer. */
export const maxTokenGapMs = 57;

const maxRecordedMs = 600_000;
const histogramUnitsPerMs = 10;

const computePercentile95 = (values: readonly number[]): number => {
  if (values.length === 0) return 0;
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: maxRecordedMs * histogramUnitsPerMs,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) {
    histogram.recordValue(Math.round(value * histogramUnitsPerMs));
  }
  return histogram.getValueAtPercentile(95) / histogramUnitsPerMs;
};

/** Returns the traffic class under which an outcome is counted. */
export const getTrafficClass = ({ request }: RequestOutcome): TrafficClass =>
  request.kind === 'operation' ? 'operation' : request.class;

/** Returns 1 when there are no requests. */
const computeShare = (part: number, whole: number) =>
  whole === 0 ? 1 : part / whole;

const computeGoodput = (outcomes: readonly RequestOutcome[]) =>
  computeShare(
    outcomes.filter(outcome => outcome.verdict === 'good').length,
    outcomes.length,
  );

const countVerdicts = (outcomes: readonly RequestOutcome[]): VerdictCounts => {
  const counts = { good: 0, late: 0, refused: 0, lost: 0 };
  for (const { verdict } of outcomes) counts[verdict] += 1;
  return counts;
};

const computeGoodputByClass = (outcomes: readonly RequestOutcome[]) => {
  const shares: Partial<Record<TrafficClass, number>> = {};
  for (const name of trafficClasses) {
    const classOutcomes = outcomes.filter(
      outcome => getTrafficClass(outcome) === name,
    );
    if (classOutcomes.length > 0) shares[name] = computeGoodput(classOutcomes);
  }
  return shares;
};

const isFirstTokenInTime = ({ request, firstTokenMs }: RequestOutcome) =>
  request.kind === 'generation' &&
  firstTokenMs !== undefined &&
  firstTokenMs <= request.firstTokenMs;

/** True for an answer of one token; false for an answer without tokens. */
const isTokenGapWithinLimit = ({
  firstTokenMs,
  tokenGapMs = 0,
}: RequestOutcome) => firstTokenMs !== undefined && tokenGapMs <= maxTokenGapMs;

/** Computes the figures of one replay. */
export const computeFigures = (result: ReplayResult): ReplayFigures => {
  const { outcomes, trace, policy, roleChanges } = result;
  const admittedOutcomes = outcomes.filter(
    outcome =>
      outcome.request.kind === 'generation' && outcome.verdict !== 'refused',
  );
  const firstTokenTimesMs = admittedOutcomes.flatMap(
    outcome => outcome.firstTokenMs ?? [],
  );
  const tokenGapsMs = admittedOutcomes.flatMap(
    outcome => outcome.tokenGapMs ?? [],
  );
  const computeAdmittedShare = (
    predicate: (outcome: RequestOutcome) => boolean,
  ) =>
    computeShare(
      admittedOutcomes.filter(predicate).length,
      admittedOutcomes.length,
    );
  return {
    trace: trace.fleet.name,
    seed: trace.fleet.seed,
    policy,
    offered: outcomes.length,
    verdicts: countVerdicts(outcomes),
    goodput: computeGoodput(outcomes),
    goodputByClass: computeGoodputByClass(outcomes),
    roleChanges: roleChanges.length,
    splitShare: computeAdmittedShare(outcome => outcome.isSplit),
    firstTokenShare: computeAdmittedShare(isFirstTokenInTime),
    firstTokenP95Ms: computePercentile95(firstTokenTimesMs),
    tokenGapShare: computeAdmittedShare(isTokenGapWithinLimit),
    tokenGapP95Ms: computePercentile95(tokenGapsMs),
  };
};
