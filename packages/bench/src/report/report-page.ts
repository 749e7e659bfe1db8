/** Renders the replay report as an HTML page with plots and tables. */
import { View, parse } from 'vega';
import { compile } from 'vega-lite';
import type { TopLevelSpec } from 'vega-lite';

import type { ReplayFigures } from '../replay/figures.js';

import type { TimeSeriesPoint } from './time-series.js';

/** Content of the report for one trace. */
export interface ReportSection {
  readonly title: string;
  readonly points: readonly TimeSeriesPoint[];
  readonly figures: readonly ReplayFigures[];
}

/** A plotted field of the time series. */
interface PlotDefinition {
  readonly field: 'goodput' | 'firstTokenMs' | 'changes';
  readonly title: string;
}

const plotDefinitions: readonly PlotDefinition[] = [
  { field: 'goodput', title: 'Goodput, share of offered requests' },
  { field: 'firstTokenMs', title: 'First token, 95th percentile, ms' },
  { field: 'changes', title: 'Role changes since the start' },
];

const createPlotSpec = (
  points: readonly TimeSeriesPoint[],
  plot: PlotDefinition,
): TopLevelSpec => ({
  $schema: 'https://vega.github.io/schema/vega-lite/v6.json',
  width: 720,
  height: 180,
  title: plot.title,
  data: { values: points.map(point => ({ ...point })) },
  mark: { type: 'line', interpolate: 'step-after' },
  encoding: {
    x: { field: 'second', type: 'quantitative', title: 'seconds' },
    y: { field: plot.field, type: 'quantitative', title: null },
    color: { field: 'policy', type: 'nominal' },
  },
});

/** Returns the plot as SVG, with one line per policy. */
const renderPlot = (
  points: readonly TimeSeriesPoint[],
  plot: PlotDefinition,
): Promise<string> => {
  const { spec } = compile(createPlotSpec(points, plot));
  return new View(parse(spec), { renderer: 'none' }).toSVG();
};

const tableColumns: readonly (keyof ReplayFigures)[] = [
  'policy',
  'offered',
  'goodput',
  'roleChanges',
  'firstTokenShare',
  'firstTokenP95Ms',
  'tokenGapShare',
  'tokenGapP95Ms',
  'splitShare',
];

const escapeHtml = (text: string) =>
  text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

/** Rounds fractions to four digits. */
const formatCell = (value: unknown) =>
  typeof value === 'number' && !Number.isInteger(value)
    ? value.toFixed(4)
    : String(value);

const renderTable = (figures: readonly ReplayFigures[]): string => {
  const headerCells = tableColumns.map(column => `<th>${column}</th>`).join('');
  const rows = figures.map(policyFigures => {
    const cells = tableColumns.map(
      column => `<td>${escapeHtml(formatCell(policyFigures[column]))}</td>`,
    );
    return `<tr>${cells.join('')}</tr>`;
  });
  return `<table><tr>${headerCells}</tr>${rows.join('')}</table>`;
};

const renderSection = async (section: ReportSection): Promise<string> => {
  const plots: string[] = [];
  for (const plot of plotDefinitions) {
    plots.push(await renderPlot(section.points, plot));
  }
  const title = `<h2>${escapeHtml(section.title)}</h2>`;
  return [title, renderTable(section.figures), ...plots].join('\n');
};

/** Returns the complete HTML page. */
export const renderPage = async (
  sections: readonly ReportSection[],
): Promise<string> => {
  const sectionTexts: string[] = [];
  for (const section of sections)
    sectionTexts.push(await renderSection(section));
  return [
    '<!doctype html><meta charset="utf-8"><title>medlarlever replay</title>',
    '<style>body{font-family:sans-serif}td,th{padding:2px 8px}</style>',
    ...sectionTexts,
    '',
  ].join('\n');
};
