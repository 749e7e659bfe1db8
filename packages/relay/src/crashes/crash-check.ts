/** Finds out whether a target has ended after a connection to it broke. */
import type { TargetClient } from '../relay/target-client.js';
import type { TargetState } from '../targets/target-state.js';

import type { CrashTracker } from './crash-tracker.js';

/** Starts a check of the target in the background. */
export type CrashCheck = (target: TargetState) => void;

/** Creates a check that confirms the crash of a target that is gone. */
export const createCrashCheck = (
  client: TargetClient,
  crashes: CrashTracker,
): CrashCheck => {
  const pendingChecks = new Set<string>();
  return target => {
    const { record } = target;
    if (pendingChecks.has(record.id)) return;
    if (!target.tryTakeProbePermit()) return;
    pendingChecks.add(record.id);
    void client
      .checkGone(record)
      .then(isGone => {
        if (isGone) crashes.confirmCrash(record.id);
      })
      .finally(() => {
        pendingChecks.delete(record.id);
      });
  };
};
