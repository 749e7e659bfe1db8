/** Plays one seed and judges it. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';

import { judge } from './checks/run-checks.js';
import type { Violation } from './checks/check.js';
import { planFaults } from './faults/fault-plan.js';
import type { Evidence } from './run/run-record.js';
import { Scene } from './run/soak-run.js';

export interface SeedOptions {
  readonly seed: number;
  /** Time in which faults begin. */
  readonly lengthMs: number;
  readonly instances: number;
  readonly callers: number;
}

export interface SeedOutcome {
  readonly seed: number;
  readonly violations: readonly Violation[];
  readonly requests: number;
  readonly served: number;
  /** Faults that struck, and the log lines by instance, for a finding. */
  readonly faults: readonly string[];
  readonly logs: ReadonlyMap<string, readonly string[]>;
  readonly evidence: Evidence;
}

export const runSeed = async (options: SeedOptions): Promise<SeedOutcome> => {
  const { seed, lengthMs } = options;
  const folder = await mkdtemp(join(tmpdir(), 'soak-'));
  const scene = await Scene.open({ ...options, folder });
  try {
    const startMs = performance.now();
    const evidence = await scene.play(planFaults(seed, lengthMs));
    const { attempts, disturbances } = evidence;
    const served = attempts.filter(
      ({ end }) => end?.status === 200 && end.whole,
    );
    return {
      seed,
      violations: judge(evidence),
      requests: attempts.length,
      served: served.length,
      faults: disturbances.describe(startMs),
      logs: new Map(scene.instances.map(({ name, lines }) => [name, lines])),
      evidence,
    };
  } finally {
    await scene.close();
    await rm(folder, { recursive: true });
  }
};
