/**
 * Command `npm run report -- [TRACE...] [--seed N]`: replays traces with every
 * policy and writes plots and tables to reports/replay.html.
 */
import { mkdir, writeFile } from 'node:fs/promises';

import meow from 'meow';

import { computeFigures } from '../replay/figures.js';
import {
  createPolicySetup,
  policyNames,
  replayEngineSpeed,
} from '../replay/policies.js';
import { replayTrace } from '../replay/replay.js';
import { generateTrace } from '../replay/scenario.js';
import type { TraceScenario } from '../replay/scenario.js';
import { traceScenarios } from '../replay/scenarios.js';
import { heldOutSeeds } from '../replay/seeds.js';

import { renderPage } from './report-page.js';
import type { ReportSection } from './report-page.js';
import { createPoints } from './time-series.js';

const cli = meow(
  `
  Usage: npm run report -- [TRACE...] [--seed N]

  Traces: ${Object.keys(traceScenarios).join(', ')}; default: all
  Writes reports/replay.html
`,
  {
    importMeta: import.meta,
    flags: { seed: { type: 'number', default: heldOutSeeds[0] ?? 0 } },
  },
);

/** Replays the scenario with every policy. */
const createSection = async (
  scenario: TraceScenario,
  seed: number,
): Promise<ReportSection> => {
  const trace = generateTrace(scenario, seed);
  const { changeCost } = trace.fleet;
  const points = [];
  const figures = [];
  for (const name of policyNames) {
    const policySetup = createPolicySetup(name, {
      engineSpeed: replayEngineSpeed,
      changeCost,
    });
    const result = await replayTrace(trace, {
      policySetup: policySetup,
      engineSpeed: replayEngineSpeed,
    });
    points.push(...createPoints(result));
    figures.push(computeFigures(result));
  }
  return { title: `${scenario.name}, seed ${seed}`, points, figures };
};

const scenarioNames =
  cli.input.length > 0 ? cli.input : Object.keys(traceScenarios);
const sections: ReportSection[] = [];
for (const name of scenarioNames) {
  const scenario = traceScenarios[name];
  if (scenario === undefined) cli.showHelp(2);
  else sections.push(await createSection(scenario, cli.flags.seed));
}
await mkdir('reports', { recursive: true });
await writeFile('reports/replay.html', await renderPage(sections));
console.log('wrote reports/replay.html');
