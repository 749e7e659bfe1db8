/** Keeps what a seed with a violation saw, and prints outcomes. */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { SeedOutcome } from './run-seed.js';

export const printOutcome = (outcome: SeedOutcome): void => {
  const {
    seed,
    violations,
    requestCount: requests,
    servedCount: served,
    faultDescriptions: faults,
  } = outcome;
  const verdict = violations.length === 0 ? 'pass' : 'FAIL';
  console.log(
    `${verdict}  seed ${seed}: ${served} of ${requests} requests served, ${faults.length} faults`,
  );
  for (const { promise, seen } of violations.slice(0, 10)) {
    console.log(`      ${promise}: ${seen}`);
  }
};

/** Writes faults, requests and log lines of the seed to a folder. */
export const writeFinding = async (outcome: SeedOutcome): Promise<string> => {
  const folder = join('target', 'soak', String(outcome.seed));
  await mkdir(folder, { recursive: true });
  const {
    record: evidence,
    faultDescriptions: faults,
    violations,
    logLinesByInstance: logs,
  } = outcome;
  const { attempts, arrivals, orders, exits, configurations } = evidence;
  const seen = { attempts, arrivals, orders, exits, configurations };
  await writeFile(
    join(folder, 'finding.json'),
    JSON.stringify({ violations, faults, ...seen }, undefined, 1),
  );
  for (const [instance, lines] of logs) {
    await writeFile(join(folder, `${instance}.log`), lines.join('\n'));
  }
  return folder;
};
