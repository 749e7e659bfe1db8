/** `npm run soak`: real processes under faults that follow from seeds. */
import { readFileSync } from 'node:fs';

import meow from 'meow';

import { writeFinding, printOutcome } from './report.js';
import { runSeed } from './run-seed.js';

const cli = meow(
  `
  Usage: npm run soak -- [--seed N] [--seeds COUNT] [--seconds S] [--jobs J]
                        [--instances I] [--callers C] | --regressions

  --seed     first seed (1); 0 takes one from the time of day
  --seeds    how many seeds in a row (1)
  --seconds  time in which faults begin (15); the recovery follows
  --jobs     seeds that are played at the same time (1)
  --instances, --callers  size of a run (3 and 12)
  --regressions  plays the seeds that ever failed
  Exits 1 when a promise is broken; what was seen is kept in target/soak.
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
      regressions: { type: 'boolean', default: false },
    },
  },
);

const msPerSecond = 1_000;

interface Regression {
  readonly seed: number;
  readonly cause: string;
}

const readRegressionSeeds = (): number[] => {
  const file = new URL('../regressions.json', import.meta.url);
  const listed = JSON.parse(readFileSync(file, 'utf8')) as Regression[];
  return listed.map(({ seed }) => seed);
};

const { flags } = cli;
const firstSeed = flags.seed === 0 ? Date.now() : flags.seed;
const remainingSeeds = flags.regressions
  ? readRegressionSeeds()
  : Array.from({ length: flags.seeds }, (_, i) => firstSeed + i);
let failedCount = 0;

const runSeeds = async (): Promise<void> => {
  for (;;) {
    const seed = remainingSeeds.shift();
    if (seed === undefined) return;
    const lengthMs = flags.seconds * msPerSecond;
    const { instances, callers } = flags;
    const outcome = await runSeed({
      seed,
      faultPeriodMs: lengthMs,
      instanceCount: instances,
      callerCount: callers,
    });
    printOutcome(outcome);
    if (outcome.violations.length === 0) continue;
    failedCount += 1;
    console.log(`      kept in ${await writeFinding(outcome)}`);
  }
};

const seedCount = remainingSeeds.length;
await Promise.all(Array.from({ length: flags.jobs }, runSeeds));
console.log(`${seedCount - failedCount} passed, ${failedCount} failed`);
process.exit(failedCount === 0 ? 0 : 1);
