/** Plug-in that keeps what is refused, because it crashes targets, over restarts. */
import type { Plugin } from '@medlarlever/core';

import { startOrder } from '../kernel/start-order.js';
import {
  crashTrackerToken,
  logToken,
  promptQuarantineToken,
  randomToken,
  servingEndControllerToken,
  tableToken,
} from '../kernel/tokens.js';

import { RefusalArchive } from './refusal-archive.js';

export const crashesPlugin: Plugin = {
  name: 'crashes',
  register: kernel => {
    kernel.addLifecycleHook({
      name: 'refusals',
      rank: startOrder.feeds,
      start: () => {
        const archive = new RefusalArchive({
          table: kernel.get(tableToken),
          requests: kernel.get(crashTrackerToken).requests,
          promptQuarantine: kernel.get(promptQuarantineToken),
          random: kernel.get(randomToken),
          log: kernel.get(logToken),
        });
        void archive.run(kernel.get(servingEndControllerToken).signal);
        return Promise.resolve();
      },
      stop: () => Promise.resolve(),
    });
  },
};
