/** Waits for data that has arrived at the sockets of the process. */
import { setImmediate as nextTurn } from 'node:timers/promises';

/**
 * Resolves once the event loop has read what waits at the sockets. Timers come before
 * reads: after a standstill of the process they find deadlines passed whose data is there.
 */
export const waitForPendingReads = async (): Promise<void> => {
  await nextTurn();
  await nextTurn();
};
