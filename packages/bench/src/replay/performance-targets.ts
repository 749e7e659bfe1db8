/** The stated targets, judged on the figures of one trace. */
import type { ReplayFigures } from './figures.js';

/** One target: what was asked for, what was measured. */
export interface PerformanceTargetResult {
  readonly target: string;
  readonly seen: string;
  readonly met: boolean;
}

export interface PolicyComparison {
  readonly horizon: ReplayFigures;
  /** Mixed, fixed and greedy. */
  readonly baselines: readonly ReplayFigures[];
  readonly bestFixedSplit?: ReplayFigures;
}

/** Trace on which no role may change. */
const swingTraceName = 'swing-back';

const formatPercent = (share: number) => `${(100 * share).toFixed(2)}%`;

const evaluateGoodput = ({
  horizon: real,
  baselines,
}: PolicyComparison): PerformanceTargetResult => {
  const best = baselines.reduce((a, b) => (b.goodput > a.goodput ? b : a));
  return {
    target: 'goodput >= best baseline',
    seen: `${formatPercent(real.goodput)} against ${formatPercent(best.goodput)} (${best.policy})`,
    met: real.goodput >= best.goodput,
  };
};

const evaluateRoleChanges = ({
  horizon: real,
  baselines,
}: PolicyComparison): PerformanceTargetResult => {
  const greedy = baselines.find(each => each.policy === 'greedy');
  const allowed =
    real.trace === swingTraceName ? 0 : (greedy?.roleChanges ?? 0) / 3;
  return {
    target:
      real.trace === swingTraceName
        ? 'no role change'
        : 'role changes <= a third of greedy',
    seen: `${real.roleChanges} against ${greedy?.roleChanges ?? 0}`,
    met: real.roleChanges <= allowed,
  };
};

const evaluateBestFixedSplit = ({
  horizon: real,
  bestFixedSplit: bestFixed,
}: PolicyComparison): PerformanceTargetResult[] => {
  if (bestFixed === undefined) return [];
  return [
    {
      target: 'goodput >= 95% of the best fixed plan',
      seen: `${formatPercent(real.goodput)} against ${formatPercent(bestFixed.goodput)}`,
      met: real.goodput >= 0.95 * bestFixed.goodput,
    },
  ];
};

const evaluateLatency = ({
  horizon: real,
}: PolicyComparison): PerformanceTargetResult[] => [
  {
    target: 'first token within 1.4 s for 95 in 100 admitted',
    seen: formatPercent(real.firstTokenShare),
    met: real.firstTokenShare >= 0.95,
  },
  {
    target: '57 ms between tokens for 95 in 100 admitted',
    seen: formatPercent(real.tokenGapShare),
    met: real.tokenGapShare >= 0.95,
  },
];

/** Every target with what was seen. */
export const evaluateTargets = (
  comparison: PolicyComparison,
): readonly PerformanceTargetResult[] => [
  evaluateGoodput(comparison),
  ...evaluateBestFixedSplit(comparison),
  evaluateRoleChanges(comparison),
  ...evaluateLatency(comparison),
];
