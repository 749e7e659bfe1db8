/** The stated targets, judged on the figures of one trace. */
import type { ReplayFigures } from './figures.js';

/** One target: what was asked for, what was measured. */
export interface TargetResult {
  readonly target: string;
  readonly seen: string;
  readonly met: boolean;
}

export interface Comparison {
  readonly real: ReplayFigures;
  /** Mixed, fixed and greedy. */
  readonly baselines: readonly ReplayFigures[];
  readonly bestFixed?: ReplayFigures;
}

/** Trace on which no role may change. */
const swingTrace = 'swing-back';

const percent = (share: number) => `${(100 * share).toFixed(2)}%`;

const judgeGoodput = ({ real, baselines }: Comparison): TargetResult => {
  const best = baselines.reduce((a, b) => (b.goodput > a.goodput ? b : a));
  return {
    target: 'goodput >= best baseline',
    seen: `${percent(real.goodput)} against ${percent(best.goodput)} (${best.policy})`,
    met: real.goodput >= best.goodput,
  };
};

const judgeChanges = ({ real, baselines }: Comparison): TargetResult => {
  const greedy = baselines.find(each => each.policy === 'greedy');
  const allowed =
    real.trace === swingTrace ? 0 : (greedy?.roleChanges ?? 0) / 3;
  return {
    target:
      real.trace === swingTrace
        ? 'no role change'
        : 'role changes <= a third of greedy',
    seen: `${real.roleChanges} against ${greedy?.roleChanges ?? 0}`,
    met: real.roleChanges <= allowed,
  };
};

const judgeBestFixed = ({ real, bestFixed }: Comparison): TargetResult[] => {
  if (bestFixed === undefined) return [];
  return [
    {
      target: 'goodput >= 95% of the best fixed plan',
      seen: `${percent(real.goodput)} against ${percent(bestFixed.goodput)}`,
      met: real.goodput >= 0.95 * bestFixed.goodput,
    },
  ];
};

const judgeLatency = ({ real }: Comparison): TargetResult[] => [
  {
    target: 'first token within 1.4 s for 95 in 100 admitted',
    seen: percent(real.firstTokenShare),
    met: real.firstTokenShare >= 0.95,
  },
  {
    target: '57 ms between tokens for 95 in 100 admitted',
    seen: percent(real.tokenGapShare),
    met: real.tokenGapShare >= 0.95,
  },
];

/** Every target with what was seen. */
export const judge = (comparison: Comparison): readonly TargetResult[] => [
  judgeGoodput(comparison),
  ...judgeBestFixed(comparison),
  judgeChanges(comparison),
  ...judgeLatency(comparison),
];
