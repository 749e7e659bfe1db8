/** `npm run drill -- requests|control [--seed N] [--runs K] [--json]` */
import meow from 'meow';

import { controlDrills } from './control.js';
import type { Drill, DrillOutcome } from './drill.js';
import { requestDrills } from './requests.js';

const suites: Readonly<Record<string, readonly Drill[]>> = {
  requests: requestDrills,
  control: controlDrills,
};

const cli = meow(
  `
  Usage: npm run drill -- SUITE [--seed N] [--runs K] [--json]

  Suites: ${Object.keys(suites).join(', ')}
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

const runSafely = async (drill: Drill): Promise<DrillOutcome> => {
  try {
    return await drill.run({ seed: cli.flags.seed, runs: cli.flags.runs });
  } catch (error) {
    return { passed: false, seen: `threw ${String(error)}` };
  }
};

const print = (drill: Drill, outcome: DrillOutcome) => {
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

const suite = suites[cli.input[0] ?? ''];
if (suite === undefined) cli.showHelp(2);

let failed = 0;
for (const drill of suite ?? []) {
  const outcome = await runSafely(drill);
  print(drill, outcome);
  if (!outcome.passed) failed += 1;
}
if (!cli.flags.json) {
  console.log(`${(suite?.length ?? 0) - failed} passed, ${failed} failed`);
}
process.exit(failed === 0 ? 0 : 1);
