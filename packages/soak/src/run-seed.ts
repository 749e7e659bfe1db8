/** Runs the soak test with one seed and checks the result. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { runChecks } from './checks/run-checks.js';
import type { Violation } from './checks/check.js';
import { planFaults, planFaultsWithRestarts } from './faults/fault-plan.js';
import type { RunRecord } from './run/run-record.js';
import { SoakRun } from './run/soak-run.js';

/** Seed and size of a run. */
export interface SeedOptions {
  readonly seed: number;
  /** Length of the period in which faults start, from the start of the plan. */
  readonly faultPeriodMs: number;
  readonly instanceCount: number;
  readonly callerCount: number;
  /** True if all instances are also restarted at once, several times. */
  readonly restartsAll: boolean;
}

/** Result of a run with its violations. */
export interface SeedOutcome {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly requestCount: number;
  readonly servedCount: number;
  /** One line for each injected fault. */
  readonly faultDescriptions: readonly string[];
  readonly logLinesByInstance: ReadonlyMap<string, readonly string[]>;
  readonly record: RunRecord;
}

/**
 * Runs the seed with processes of its own and settings in a temporary folder.
 */
export const runSeed = async (options: SeedOptions): Promise<SeedOutcome> => {
  const { seed, faultPeriodMs, restartsAll } = options;
  const createPlan = restartsAll ? planFaultsWithRestarts : planFaults;
  const folder = await mkdtemp(join(tmpdir(), 'soak-'));
  const run = await SoakRun.start({ ...options, folder });
  try {
    const startMs = performance.now();
    const record = await run.executePlan(createPlan(seed, faultPeriodMs));
    const { attempts, faultLog } = record;
    const servedAttempts = attempts.filter(
      ({ end }) => end?.status === 200 && end.whole,
    );
    return {
      seed,
      violations: runChecks(record),
      requestCount: attempts.length,
      servedCount: servedAttempts.length,
      faultDescriptions: faultLog.describeFaults(startMs),
      logLinesByInstance: new Map(
        run.instances.map(({ name, logLines }) => [name, logLines]),
      ),
      record,
    };
  } finally {
    await run.close();
    await rm(folder, { recursive: true });
  }
};
