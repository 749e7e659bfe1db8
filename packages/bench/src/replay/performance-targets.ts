/** Compares the figures of one trace with the stated performance targets. */
import type { ReplayFigures } from './figures.js';

/** A performance target with the measured values. */
export interface PerformanceTargetResult {
  /** The performance target as text. */
  readonly target: string;
  /** The measured values as text. */
  readonly seen: string;
  readonly met: boolean;
}

/** Figures of every policy on the same trace. */
export interface PolicyComparison {
  readonly horizon: ReplayFigures;
  /** Figures of the policies mixed, fixed and greedy. */
  readonly baselines: readonly ReplayFigures[];
  readonly bestFixedSplit?: ReplayFigures;
}

/** Name of the trace whose target is that no role changes. */
const swingTraceName = 'swing-back';

const formatPercent = (share: number) => `${(100 * share).toFixed(2)}%`;

const evaluateGoodput = ({
  horizon,
  baselines,
}: PolicyComparison): PerformanceTargetResult => {
  const bestBaseline = baselines.reduce((a, b) =>
    b.goodput > a.goodput ? b : a,
  );
  return {
    target: 'goodput >= best baseline',
    seen: `${formatPercent(horizon.goodput)} against ${formatPercent(bestBaseline.goodput)} (${bestBaseline.policy})`,
    met: horizon.goodput >= bestBaseline.goodput,
  };
};

const evaluateRoleChanges = ({
  horizon,
  baselines,
}: PolicyComparison): PerformanceTargetResult => {
  const greedy = baselines.find(figures => figures.policy === 'greedy');
  const maxRoleChanges =
    horizon.trace === swingTraceName ? 0 : (greedy?.roleChanges ?? 0) / 3;
  return {
    target:
      horizon.trace === swingTraceName
        ? 'no role change'
        : 'role changes <= a third of greedy',
    seen: `${horizon.roleChanges} against ${greedy?.roleChanges ?? 0}`,
    met: horizon.roleChanges <= maxRoleChanges,
  };
};

const evaluateBestFixedSplit = ({
  horizon,
  bestFixedSplit,
}: PolicyComparison): PerformanceTargetResult[] => {
  if (bestFixedSplit === undefined) return [];
  return [
    {
      target: 'goodput >= 95% of the best fixed plan',
      seen: `${formatPercent(horizon.goodput)} against ${formatPercent(bestFixedSplit.goodput)}`,
      met: horizon.goodput >= 0.95 * bestFixedSplit.goodput,
    },
  ];
};

const evaluateLatency = ({
  horizon,
}: PolicyComparison): PerformanceTargetResult[] => [
  {
    target: 'first token within 1.4 s for 95 in 100 admitted',
    seen: formatPercent(horizon.firstTokenShare),
    met: horizon.firstTokenShare >= 0.95,
  },
  {
    target: '57 ms between tokens for 95 in 100 admitted',
    seen: formatPercent(horizon.tokenGapShare),
    met: horizon.tokenGapShare >= 0.95,
  },
];

/** Returns the result of every performance target. */
export const evaluateTargets = (
  comparison: PolicyComparison,
): readonly PerformanceTargetResult[] => [
  evaluateGoodput(comparison),
  ...evaluateBestFixedSplit(comparison),
  evaluateRoleChanges(comparison),
  ...evaluateLatency(comparison),
];
