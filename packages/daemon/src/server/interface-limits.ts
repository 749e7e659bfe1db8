/** Limits of the connections and bodies at each HTTP interface. */
import { BodyReader, ConnectionGuard, LimitLog } from '@medlarlever/core';

import type { DaemonKernel, InterfaceName } from '../kernel/daemon-kernel.js';
import { logToken, settingsToken } from '../kernel/tokens.js';

/** Shares of the limits that the settings name for the whole process. */
const interfaceShares: Readonly<Record<InterfaceName, number>> = {
  caller: 0.7,
  operator: 0.1,
  peer: 0.2,
};

/** Creates the guard of an interface. */
export const createInterfaceGuard = (
  kernel: DaemonKernel,
  name: InterfaceName,
): ConnectionGuard => {
  const { max, max_held_bytes: maxHeldBytes } =
    kernel.get(settingsToken).connections;
  const share = interfaceShares[name];
  const log = new LimitLog(kernel.get(logToken), name);
  return new ConnectionGuard({
    getMaxConnections: () => Math.max(1, Math.floor(max * share)),
    getMaxHeldBytes: () => maxHeldBytes * share,
    onLimit: limit => {
      log.record(limit);
    },
  });
};

/** Creates the reader of the bodies at an interface. */
export const createInterfaceBodyReader = (
  kernel: DaemonKernel,
  name: InterfaceName,
): BodyReader => {
  const { max_buffered_bytes: maxBytes } = kernel.get(settingsToken).requests;
  return new BodyReader(() => maxBytes * interfaceShares[name]);
};
