/** Liveness checks of targets; concurrent checks of one target share a result. */
import type { TargetState } from '../targets/target-state.js';

import type { LivenessCheck } from './send-watchdog.js';
import type { TargetClient } from './target-client.js';

/** Returns a check that resolves to true if the target answers the client. */
export const createLivenessCheck = (client: TargetClient): LivenessCheck => {
  const pendingChecks = new Map<string, Promise<boolean>>();
  return (target: TargetState) => {
    const { record } = target;
    const pendingCheck = pendingChecks.get(record.id);
    if (pendingCheck !== undefined) return pendingCheck;
    if (!target.tryTakeProbePermit()) return Promise.resolve(true);
    const livenessCheck = client.checkLiveness(record).finally(() => {
      pendingChecks.delete(record.id);
    });
    pendingChecks.set(record.id, livenessCheck);
    return livenessCheck;
  };
};
