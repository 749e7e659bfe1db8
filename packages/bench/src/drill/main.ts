/** Command that runs a suite of drills: `npm run drill -- requests|control [--seed N] [--runs K] [--json]`. */
import meow from 'meow';

import { controlDrills } from './control.js';
import type { Drill, DrillOutcome } from './drill.js';
import { requestDrills } from './requests.js';

const drillsBySuite: Readonly<Record<string, readonly Drill[]>> = {
  requests: requestDrills,
  control: controlDrills,
};

const cli = meow(
  `
  Usage: npm run drill -- SUITE [--seed N] [--runs K] [--json]

  Suites: ${Object.keys(drillsBySuite).join(', ')}
  Exits 1 when any drill fails.
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      runs: { type: 'number', default: 20 },
      json: { type: 'boolean', default: false },
    },
  },
);

const runDrillSafely = async (drill: Drill): Promise<DrillOutcome> => {
  try {
    return await drill.run({
      seed: cli.flags.seed,
      scheduleCount: cli.flags.runs,
    });
  } catch (error) {
    return { passed: false, seen: `threw ${String(error)}` };
  }
};

const printOutcome = (drill: Drill, outcome: DrillOutcome) => {
  if (cli.flags.json) {
    const { fault, promise } = drill;
    console.log(JSON.stringify({ fault, promise, ...outcome }));
    return;
  }
  const verdict = outcome.passed ? 'pass' : 'FAIL';
  console.log(
    `${verdict}  ${drill.fault} | ${drill.promise} | ${outcome.seen}`,
  );
};

const suite = drillsBySuite[cli.input[0] ?? ''];
if (suite === undefined) cli.showHelp(2);

let failedCount = 0;
for (const drill of suite ?? []) {
  const outcome = await runDrillSafely(drill);
  printOutcome(drill, outcome);
  if (!outcome.passed) failedCount += 1;
}
if (!cli.flags.json) {
  console.log(
    `${(suite?.length ?? 0) - failedCount} passed, ${failedCount} failed`,
  );
}
process.exit(failedCount === 0 ? 0 : 1);
