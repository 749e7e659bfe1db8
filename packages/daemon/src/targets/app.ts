/** Registers the clients of targets, the polling of load reports and the router. */
import {
  HttpTargetFactory,
  LoadEstimator,
  LoadPoller,
  PrefixIndex,
  Router,
} from '@medlarlever/core';

import { registerFeature } from '../kernel/daemon-kernel.js';
import {
  fleetDirectoryToken,
  loadEstimatorToken,
  loadPollerToken,
  prefixIndexToken,
  quarantineToken,
  randomSourceToken,
  routerToken,
  settingsToken,
  targetFactoryToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

registerFeature('targets', kernel => {
  kernel.provide(targetFactoryToken, resolver => {
    const { streams } = resolver.get(settingsToken);
    return new HttpTargetFactory({
      heartbeatTimeoutMs: streams.heartbeat_limit_ms,
    });
  });
  kernel.provide(loadEstimatorToken, () => new LoadEstimator());
  kernel.provide(prefixIndexToken, () => new PrefixIndex());
  kernel.provide(
    routerToken,
    resolver =>
      new Router({
        directory: resolver.get(fleetDirectoryToken),
        loadEstimator: resolver.get(loadEstimatorToken),
        prefixIndex: resolver.get(prefixIndexToken),
        random: resolver.get(randomSourceToken),
        isBlocked: engine => resolver.get(quarantineToken).isReserved(engine),
      }),
  );
  kernel.provide(
    loadPollerToken,
    resolver =>
      new LoadPoller({
        directory: resolver.get(fleetDirectoryToken),
        loadEstimator: resolver.get(loadEstimatorToken),
        prefixIndex: resolver.get(prefixIndexToken),
        random: resolver.get(randomSourceToken),
      }),
  );
  const stopController = new AbortController();
  let pollingLoop: Promise<void> = Promise.resolve();
  kernel.addLifecycleHook({
    name: 'targets',
    rank: startOrder.targets,
    start: () => {
      pollingLoop = kernel.get(loadPollerToken).run(stopController.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopController.abort();
      return pollingLoop;
    },
  });
});
