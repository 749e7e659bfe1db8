/** Plain-text rows of figures. */
import type { ReplayFigures } from './figures.js';
import type { TargetResult } from './performance-targets.js';

const percent = (share: number) => (100 * share).toFixed(2);

const cells = (values: readonly (string | number)[]) =>
  values
    .map((value, index) =>
      index < 3 ? String(value).padEnd(15) : String(value).padStart(8),
    )
    .join(' ');

export const formatHeader = (): string =>
  cells([
    'trace',
    'seed',
    'policy',
    'offered',
    'good%',
    'late',
    'refused',
    'lost',
    'changes',
    'ttft%',
    'p95 ms',
    'gap%',
    'p95 ms',
    'split%',
  ]);

export const formatFigures = (figures: ReplayFigures): string =>
  cells([
    figures.trace,
    figures.seed,
    figures.policy,
    figures.offered,
    percent(figures.goodput),
    figures.verdicts.late,
    figures.verdicts.refused,
    figures.verdicts.lost,
    figures.roleChanges,
    percent(figures.firstTokenShare),
    Math.round(figures.firstTokenP95Ms),
    percent(figures.tokenGapShare),
    figures.tokenGapP95Ms.toFixed(1),
    percent(figures.splitShare),
  ]);

export const formatTarget = ({ target, seen, met }: TargetResult): string =>
  `${met ? 'met   ' : 'MISSED'} ${target}: ${seen}`;
