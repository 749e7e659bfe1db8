/**
 * Random schedules of cuts, restarts, suspensions and restores, played on the decision
 * alone. They guard against a withdrawn key that still runs, and a known key that gets 401.
 */
import test from 'ava';

import { DeploymentSimulation } from '../fixtures/deployment-simulation.js';

const shortScheduleCount = 9_000;
const largeScheduleCount = 1_000;

for (const { instances, schedules } of [
  { instances: 8, schedules: shortScheduleCount },
  { instances: 80, schedules: largeScheduleCount },
]) {
  test(`no withdrawn key runs late and no known key gets 401 in ${schedules} schedules of ${instances} instances`, t => {
    const totals = {
      allowed: 0,
      refused: 0,
      unverifiable: 0,
      suspensions: 0,
      restores: 0,
    };
    for (let seed = 1; seed <= schedules; seed += 1) {
      const simulation = new DeploymentSimulation(seed, instances);
      const result = simulation.run();
      if (result.violations.length > 0)
        t.fail(`seed ${seed}: ${result.violations.join('; ')}`);
      totals.allowed += result.allowed;
      totals.refused += result.refused;
      totals.unverifiable += result.unverifiable;
      totals.suspensions += result.suspensions;
      totals.restores += result.restores;
    }
    t.log(JSON.stringify(totals));
    // A schedule that never serves, refuses or fails would prove nothing.
    for (const total of Object.values(totals)) t.true(total > schedules / 2);
    t.true(totals.allowed > totals.unverifiable);
  });
}
