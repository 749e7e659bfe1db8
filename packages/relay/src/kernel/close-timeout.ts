/** Bounds what a stop spends on closing idle connections. */
import { sleep } from '@medlarlever/core';

const closeTimeoutMs = 100;

export const awaitCloseOrTimeout = async (
  close: Promise<void>,
): Promise<void> => {
  await Promise.race([close, sleep(closeTimeoutMs)]);
};
