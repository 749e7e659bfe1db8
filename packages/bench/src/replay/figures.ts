/** Figures of a replay: goodput by class, latency and role changes. */
import { build } from 'hdr-histogram-js';

import type { Outcome, Verdict } from './request-outcome.js';
import type { ReplayRun } from './replay.js';

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
export const tokenGapBoundMs = 57;

const highestMs = 600_000;
const tenthsPerMs = 10;

const percentile95 = (values: readonly number[]): number => {
  if (values.length === 0) return 0;
  const histogram = build({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestMs * tenthsPerMs,
    numberOfSignificantValueDigits: 3,
  });
  for (const value of values) {
    histogram.recordValue(Math.round(value * tenthsPerMs));
  }
  return histogram.getValueAtPercentile(95) / tenthsPerMs;
};

export const classOf = ({ request }: Outcome): TrafficClass =>
  request.kind === 'operation' ? 'operation' : request.class;

const share = (part: number, whole: number) => (whole === 0 ? 1 : part / whole);

const goodShare = (outcomes: readonly Outcome[]) =>
  share(outcomes.filter(o => o.verdict === 'good').length, outcomes.length);

const countVerdicts = (outcomes: readonly Outcome[]): VerdictCounts => {
  const counts = { good: 0, late: 0, refused: 0, lost: 0 };
  for (const { verdict } of outcomes) counts[verdict] += 1;
  return counts;
};

const goodputByClass = (outcomes: readonly Outcome[]) => {
  const shares: Partial<Record<TrafficClass, number>> = {};
  for (const name of trafficClasses) {
    const ofClass = outcomes.filter(outcome => classOf(outcome) === name);
    if (ofClass.length > 0) shares[name] = goodShare(ofClass);
  }
  return shares;
};

const firstTokenInBound = ({ request, firstTokenMs }: Outcome) =>
  request.kind === 'generation' &&
  firstTokenMs !== undefined &&
  firstTokenMs <= request.firstTokenMs;

/** An answer of one token has no gap to keep; one without any keeps none. */
const tokenGapInBound = ({ firstTokenMs, tokenGapMs = 0 }: Outcome) =>
  firstTokenMs !== undefined && tokenGapMs <= tokenGapBoundMs;

/** The figures of one run. */
export const figuresOf = (run: ReplayRun): ReplayFigures => {
  const { outcomes, trace, policy, changes } = run;
  const admitted = outcomes.filter(
    o => o.request.kind === 'generation' && o.verdict !== 'refused',
  );
  const firsts = admitted.flatMap(o => o.firstTokenMs ?? []);
  const gaps = admitted.flatMap(o => o.tokenGapMs ?? []);
  const count = (test: (outcome: Outcome) => boolean) =>
    share(admitted.filter(test).length, admitted.length);
  return {
    trace: trace.fleet.name,
    seed: trace.fleet.seed,
    policy,
    offered: outcomes.length,
    verdicts: countVerdicts(outcomes),
    goodput: goodShare(outcomes),
    goodputByClass: goodputByClass(outcomes),
    roleChanges: changes.length,
    splitShare: count(o => o.split),
    firstTokenShare: count(firstTokenInBound),
    firstTokenP95Ms: percentile95(firsts),
    tokenGapShare: count(tokenGapInBound),
    tokenGapP95Ms: percentile95(gaps),
  };
};
