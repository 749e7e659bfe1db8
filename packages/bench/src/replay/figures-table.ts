/** Formats replay figures and target results as lines of a text table. */
import type { ReplayFigures } from './figures.js';
import type { PerformanceTargetResult } from './performance-targets.js';

const formatPercent = (share: number) => (100 * share).toFixed(2);

/** Pads the first three cells on the right and the others on the left. */
const formatCells = (values: readonly (string | number)[]) =>
  values
    .map((value, index) =>
      index < 3 ? String(value).padEnd(15) : String(value).padStart(8),
    )
    .join(' ');

/** Returns the line of column names for `formatFigures`. */
export const formatHeader = (): string =>
  formatCells([
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

/** Returns the line of one replay; columns as in `formatHeader`. */
export const formatFigures = (figures: ReplayFigures): string =>
  formatCells([
    figures.trace,
    figures.seed,
    figures.policy,
    figures.offered,
    formatPercent(figures.goodput),
    figures.verdicts.late,
    figures.verdicts.refused,
    figures.verdicts.lost,
    figures.roleChanges,
    formatPercent(figures.firstTokenShare),
    Math.round(figures.firstTokenP95Ms),
    formatPercent(figures.tokenGapShare),
    figures.tokenGapP95Ms.toFixed(1),
    formatPercent(figures.splitShare),
  ]);

/** Returns the line of one performance target with its measured value. */
export const formatTargetResult = ({
  target,
  seen,
  met,
}: PerformanceTargetResult): string =>
  `${met ? 'met   ' : 'MISSED'} ${target}: ${seen}`;
