/** Registers target clients, load reports and the router. */
import {
  HttpTargetFactory,
  LoadEstimator,
  LoadPoller,
  PrefixIndex,
  Router,
} from '@medlarlever/core';

import { registerApp } from '../kernel/daemon-kernel.js';
import {
  directoryPart,
  loadBookPart,
  loadPollerPart,
  prefixesPart,
  quarantinePart,
  randomPart,
  routerPart,
  settingsPart,
  targetFactoryPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

registerApp('targets', kernel => {
  kernel.provide(targetFactoryPart, k => {
    const { streams } = k.get(settingsPart);
    return new HttpTargetFactory({
      heartbeatTimeoutMs: streams.heartbeat_limit_ms,
    });
  });
  kernel.provide(loadBookPart, () => new LoadEstimator());
  kernel.provide(prefixesPart, () => new PrefixIndex());
  kernel.provide(
    routerPart,
    k =>
      new Router({
        directory: k.get(directoryPart),
        loadEstimator: k.get(loadBookPart),
        prefixIndex: k.get(prefixesPart),
        random: k.get(randomPart),
        isBlocked: engine => k.get(quarantinePart).isReserved(engine),
      }),
  );
  kernel.provide(
    loadPollerPart,
    k =>
      new LoadPoller({
        directory: k.get(directoryPart),
        loadEstimator: k.get(loadBookPart),
        prefixIndex: k.get(prefixesPart),
        random: k.get(randomPart),
      }),
  );
  const stopping = new AbortController();
  let polling: Promise<void> = Promise.resolve();
  kernel.addLifecycleHook({
    name: 'targets',
    rank: startRank.targets,
    start: () => {
      polling = kernel.get(loadPollerPart).run(stopping.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopping.abort();
      return polling;
    },
  });
});
