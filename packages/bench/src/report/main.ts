/** `npm run report -- [TRACE...] [--seed N]` writes reports/replay.html */
import { mkdir, writeFile } from 'node:fs/promises';

import meow from 'meow';

import { figuresOf } from '../replay/figures.js';
import {
  createContender,
  policyNames,
  replaySpeed,
} from '../replay/policies.js';
import { replay } from '../replay/replay.js';
import { generateTrace } from '../replay/scenario.js';
import type { Scenario } from '../replay/scenario.js';
import { scenarios } from '../replay/scenarios.js';
import { heldOutSeeds } from '../replay/seeds.js';

import { renderPage } from './report-page.js';
import type { ReportSection } from './report-page.js';
import { pointsOf } from './time-series.js';

const cli = meow(
  `
  Usage: npm run report -- [TRACE...] [--seed N]

  Traces: ${Object.keys(scenarios).join(', ')}; default: all
  Writes reports/replay.html
`,
  {
    importMeta: import.meta,
    flags: { seed: { type: 'number', default: heldOutSeeds[0] ?? 0 } },
  },
);

const createSection = async (
  scenario: Scenario,
  seed: number,
): Promise<ReportSection> => {
  const trace = generateTrace(scenario, seed);
  const { changeCost } = trace.fleet;
  const points = [];
  const figures = [];
  for (const name of policyNames) {
    const contender = createContender(name, { speed: replaySpeed, changeCost });
    const run = await replay(trace, { contender, speed: replaySpeed });
    points.push(...pointsOf(run));
    figures.push(figuresOf(run));
  }
  return { title: `${scenario.name}, seed ${seed}`, points, figures };
};

const names = cli.input.length > 0 ? cli.input : Object.keys(scenarios);
const sections: ReportSection[] = [];
for (const name of names) {
  const scenario = scenarios[name];
  if (scenario === undefined) cli.showHelp(2);
  else sections.push(await createSection(scenario, cli.flags.seed));
}
await mkdir('reports', { recursive: true });
await writeFile('reports/replay.html', await renderPage(sections));
console.log('wrote reports/replay.html');
