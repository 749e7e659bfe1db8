/** Steps of background tasks, which go on after an unexpected error. */
import type { Log } from '@medlarlever/core';

/** Logs the unexpected error of a step. */
export const logFailedStep = (log: Log, step: string, error: unknown): void => {
  const stack = error instanceof Error ? error.stack : undefined;
  log.writeEvent('step_failed', { step, reason: String(error), stack });
};

/** Runs a step and logs the error that it throws. */
export const runGuarded = (log: Log, step: string, run: () => void): void => {
  try {
    run();
  } catch (error) {
    logFailedStep(log, step, error);
  }
};
