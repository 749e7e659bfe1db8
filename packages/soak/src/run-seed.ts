/** Plays one seed and judges it. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { runChecks } from './checks/run-checks.js';
import type { Violation } from './checks/check.js';
import { planFaults } from './faults/fault-plan.js';
import type { RunRecord } from './run/run-record.js';
import { SoakRun } from './run/soak-run.js';

export interface SeedOptions {
  readonly seed: number;
  /** Time in which faults begin. */
  readonly faultPeriodMs: number;
  readonly instanceCount: number;
  readonly callerCount: number;
}

export interface SeedOutcome {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly requestCount: number;
  readonly servedCount: number;
  /** Faults that struck, and the log lines by instance, for a finding. */
  readonly faultDescriptions: readonly string[];
  readonly logLinesByInstance: ReadonlyMap<string, readonly string[]>;
  readonly record: RunRecord;
}

export const runSeed = async (options: SeedOptions): Promise<SeedOutcome> => {
  const { seed, faultPeriodMs: lengthMs } = options;
  const folder = await mkdtemp(join(tmpdir(), 'soak-'));
  const scene = await SoakRun.start({ ...options, folder });
  try {
    const startMs = performance.now();
    const evidence = await scene.executePlan(planFaults(seed, lengthMs));
    const { attempts, faultLog: disturbances } = evidence;
    const served = attempts.filter(
      ({ end }) => end?.status === 200 && end.whole,
    );
    return {
      seed,
      violations: runChecks(evidence),
      requestCount: attempts.length,
      servedCount: served.length,
      faultDescriptions: disturbances.describeFaults(startMs),
      logLinesByInstance: new Map(
        scene.instances.map(({ name, logLines: lines }) => [name, lines]),
      ),
      record: evidence,
    };
  } finally {
    await scene.close();
    await rm(folder, { recursive: true });
  }
};
