/** Bounds what a stop spends on closing idle connections. */
import { sleep } from '@medlarlever/core';

const closingMs = 100;

export const closeSoon = async (close: Promise<void>): Promise<void> => {
  await Promise.race([close, sleep(closingMs)]);
};
