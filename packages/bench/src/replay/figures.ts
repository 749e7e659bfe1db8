/** Figures of a replay: goodput by class, latency and role changes. */
import { build } from 'hdr-histogram-js';

import type { RequestOutcome, Verdict } from './request-outcome.js';
import type { ReplayResult } from './replay.js';

export type TrafficClass = 'interactive' | 'standard' | 'batch' | 'operation';

export const trafficClasses: readonly TrafficClass[] = [
  'interactive',
  'standard',
  'batch',
  'operation',
];

export type VerdictCounts = Readonly<Record<Verdict, number>>;

export interface ReplayFigures {
  readonly trace: string;
  readonly seed: number;
  readonly policy: string;
  readonly offered: number;
  readonly verdicts: VerdictCounts;
  /** Good answers as a share of those offered. */
  readonly goodput: number;
  readonly goodputByClass: Readonly<Partial<Record<TrafficClass, number>>>;
  readonly roleChanges: number;
  readonly splitShare: number;
  /** Of the admitted generations: first token within its bound. */
  readonly firstTokenShare: number;
  readonly firstTokenP95Ms: number;
  /** Of the admitted generations: mean time between tokens in the bound. */
  readonly tokenGapShare: number;
  readonly tokenGapP95Ms: number;
}

/** Bound on the mean time between the tokens of an answer. */
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

export const getTrafficClass = ({ request }: RequestOutcome): TrafficClass =>
  request.kind === 'operation' ? 'operation' : request.class;

const computeShare = (part: number, whole: number) =>
  whole === 0 ? 1 : part / whole;

const computeGoodput = (outcomes: readonly RequestOutcome[]) =>
  computeShare(
    outcomes.filter(o => o.verdict === 'good').length,
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
    const ofClass = outcomes.filter(
      outcome => getTrafficClass(outcome) === name,
    );
    if (ofClass.length > 0) shares[name] = computeGoodput(ofClass);
  }
  return shares;
};

const isFirstTokenInTime = ({ request, firstTokenMs }: RequestOutcome) =>
  request.kind === 'generation' &&
  firstTokenMs !== undefined &&
  firstTokenMs <= request.firstTokenMs;

/** An answer of one token has no gap to keep; one without any keeps none. */
const isTokenGapWithinLimit = ({
  firstTokenMs,
  tokenGapMs = 0,
}: RequestOutcome) => firstTokenMs !== undefined && tokenGapMs <= maxTokenGapMs;

/** The figures of one run. */
export const computeFigures = (run: ReplayResult): ReplayFigures => {
  const { outcomes, trace, policy, roleChanges: changes } = run;
  const admitted = outcomes.filter(
    o => o.request.kind === 'generation' && o.verdict !== 'refused',
  );
  const firsts = admitted.flatMap(o => o.firstTokenMs ?? []);
  const gaps = admitted.flatMap(o => o.tokenGapMs ?? []);
  const count = (test: (outcome: RequestOutcome) => boolean) =>
    computeShare(admitted.filter(test).length, admitted.length);
  return {
    trace: trace.fleet.name,
    seed: trace.fleet.seed,
    policy,
    offered: outcomes.length,
    verdicts: countVerdicts(outcomes),
    goodput: computeGoodput(outcomes),
    goodputByClass: computeGoodputByClass(outcomes),
    roleChanges: changes.length,
    splitShare: count(o => o.isSplit),
    firstTokenShare: count(isFirstTokenInTime),
    firstTokenP95Ms: computePercentile95(firsts),
    tokenGapShare: count(isTokenGapWithinLimit),
    tokenGapP95Ms: computePercentile95(gaps),
  };
};
