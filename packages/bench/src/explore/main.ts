/** Command that explores every scenario: `npm run explore [-- --json]`. */
import meow from 'meow';

import { exploreScenario, explorationScenarios } from './explore-scenario.js';
import type { ExplorationResult } from './explorer.js';

const cli = meow(
  `
  Usage: npm run explore [-- --json]

  Runs every order of the steps of two or three actors, with lost answers,
  crashes and pauses. Exits 1 when a guarantee is violated.
`,
  {
    importMeta: import.meta,
    flags: { json: { type: 'boolean', default: false } },
  },
);

const printResult = (result: ExplorationResult) => {
  if (cli.flags.json) {
    console.log(JSON.stringify(result));
    return;
  }
  const { scenario, states, schedules, cutOff, violation, trace } = result;
  const verdict = violation === undefined ? 'pass' : 'FAIL';
  console.log(
    `${verdict}  ${scenario}: ${states} states, ${schedules} schedules, ${cutOff} cut off`,
  );
  if (violation === undefined) return;
  console.log(`  ${violation}, after these steps:`);
  for (const step of trace) console.log(`    ${step}`);
};

let violationCount = 0;
for (const scenario of explorationScenarios) {
  const result = await exploreScenario(scenario);
  printResult(result);
  if (result.violation !== undefined) violationCount += 1;
}
process.exit(violationCount === 0 ? 0 : 1);
