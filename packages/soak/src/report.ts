/**
 * Prints the outcome of a seed and writes the findings of a failed seed to
 * disk.
 */
import { mkdir, writeFile } from 'node:fs/promises';
import { join } from 'node:path';

import type { SeedOutcome } from './run-seed.js';

/** Prints one line for the seed and up to 10 of its violations. */
export const printOutcome = (outcome: SeedOutcome): void => {
  const { seed, violations, requestCount, servedCount, faultDescriptions } =
    outcome;
  const verdict = violations.length === 0 ? 'pass' : 'FAIL';
  console.log(
    `${verdict}  seed ${seed}: ${servedCount} of ${requestCount} requests served, ${faultDescriptions.length} faults`,
  );
  for (const { promise, seen } of violations.slice(0, 10)) {
    console.log(`      ${promise}: ${seen}`);
  }
};

/**
 * Writes faults, requests and log lines of the seed to `target/soak/SEED`;
 * returns that folder.
 */
export const writeFinding = async (outcome: SeedOutcome): Promise<string> => {
  const folder = join('target', 'soak', String(outcome.seed));
  await mkdir(folder, { recursive: true });
  const {
    record,
    faultDescriptions: faults,
    violations,
    logLinesByInstance,
  } = outcome;
  const { attempts, arrivals, orders, exits, configurations } = record;
  const observations = { attempts, arrivals, orders, exits, configurations };
  await writeFile(
    join(folder, 'finding.json'),
    JSON.stringify({ violations, faults, ...observations }, undefined, 1),
  );
  for (const [instance, lines] of logLinesByInstance) {
    await writeFile(join(folder, `${instance}.log`), lines.join('\n'));
  }
  return folder;
};
