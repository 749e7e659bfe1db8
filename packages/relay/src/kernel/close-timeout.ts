/** Time limit for closing servers during a stop. */
import { sleep } from '@medlarlever/core';

const closeTimeoutMs = 100;

/** Waits until `close` resolves, but at most `closeTimeoutMs` milliseconds. */
export const awaitCloseOrTimeout = async (
  close: Promise<void>,
): Promise<void> => {
  await Promise.race([close, sleep(closeTimeoutMs)]);
};
