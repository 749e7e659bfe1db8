/**
 * Command line of `npm run soak`: runs real processes under faults that are
 * planned from seeds.
 */
import { readFileSync } from 'node:fs';

import meow from 'meow';

import { writeFinding, printOutcome } from './report.js';
import { runSeed } from './run-seed.js';

const cli = meow(
  `
  Usage: npm run soak -- [--seed N] [--seeds COUNT] [--seconds S] [--jobs J]
                        [--instances I] [--callers C] [--restarts] | --regressions

  --seed     first seed (1); 0 uses the current time as the seed
  --seeds    number of consecutive seeds to run (1)
  --seconds  length of the period in which faults start (15); recovery follows
  --jobs     number of seeds to run at the same time (1)
  --instances, --callers  numbers of instances and callers of a run (3 and 12)
  --restarts  restarts all instances at once as well, while targets refuse
  --regressions  runs the seeds in regressions.json, which failed before
  Exits 1 when a check fails; its findings are written to target/soak.
`,
  {
    importMeta: import.meta,
    flags: {
      seed: { type: 'number', default: 1 },
      seeds: { type: 'number', default: 1 },
      seconds: { type: 'number', default: 15 },
      jobs: { type: 'number', default: 1 },
      instances: { type: 'number', default: 3 },
      callers: { type: 'number', default: 12 },
      restarts: { type: 'boolean', default: false },
      regressions: { type: 'boolean', default: false },
    },
  },
);

const msPerSecond = 1_000;

/** An entry of regressions.json: a seed that failed before, and the cause. */
interface Regression {
  readonly seed: number;
  readonly cause: string;
}

const readRegressionSeeds = (): number[] => {
  const file = new URL('../regressions.json', import.meta.url);
  const regressions = JSON.parse(readFileSync(file, 'utf8')) as Regression[];
  return regressions.map(({ seed }) => seed);
};

const { flags } = cli;
const firstSeed = flags.seed === 0 ? Date.now() : flags.seed;
const remainingSeeds = flags.regressions
  ? readRegressionSeeds()
  : Array.from({ length: flags.seeds }, (_, i) => firstSeed + i);
let failedCount = 0;

/** Runs seeds from the queue until it is empty. */
const runSeeds = async (): Promise<void> => {
  for (;;) {
    const seed = remainingSeeds.shift();
    if (seed === undefined) return;
    const faultPeriodMs = flags.seconds * msPerSecond;
    const { instances, callers } = flags;
    const outcome = await runSeed({
      seed,
      faultPeriodMs,
      instanceCount: instances,
      callerCount: callers,
      restartsAll: flags.restarts,
    });
    printOutcome(outcome);
    if (outcome.violations.length === 0) continue;
    failedCount += 1;
    console.log(`      findings written to ${await writeFinding(outcome)}`);
  }
};

const seedCount = remainingSeeds.length;
await Promise.all(Array.from({ length: flags.jobs }, runSeeds));
console.log(`${seedCount - failedCount} passed, ${failedCount} failed`);
process.exit(failedCount === 0 ? 0 : 1);
