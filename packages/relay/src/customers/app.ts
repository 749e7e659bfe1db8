/** Plug-in that checks customers' keys and keeps the configuration's proof recent. */
import type { Kernel, Peer, Plugin } from '@medlarlever/core';
import { Maybe } from 'purify-ts';

import {
  configurationFreshnessToken,
  configurationReaderToken,
  freshnessExchangeToken,
  instanceRegistryToken,
  keyGateToken,
  logToken,
  peerMeshToken,
  peerTopologyToken,
  randomToken,
  routeWatcherToken,
  routesToken,
  servingEndControllerToken,
  settingsToken,
  tableToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';
import { readClocks } from '../shared/clock-reading.js';

import { ConfigurationFreshness } from './configuration-freshness.js';
import { ConfigurationReader } from './configuration-reader.js';
import { FreshnessExchange } from './freshness-exchange.js';
import { KeyGate } from './key-gate.js';
import { chooseFreshnessSources } from './freshness-sources.js';

/**
 * Time for which a restored store is doubted if the platform sets no delay for withdrawals:
 * as long as registrations of targets, which are written again by then.
 */
const defaultRestoreSettlingMs = 5_000;

/** Share of the delay of a withdrawal that a long poll of the operator's table may last. */
const longPollShare = 0.25;

const getMaxDelayMs = (kernel: Kernel): number | undefined =>
  kernel.get(settingsToken).current.revocation?.maxDelayMs;

/** Returns the longest time of a poll of the operator's table. */
export const getMaxLongPollMs = (kernel: Kernel): number => {
  const requiresKeys =
    kernel.get(routesToken).currentTable?.requiresKeys ?? false;
  const maxDelayMs = requiresKeys ? getMaxDelayMs(kernel) : undefined;
  return maxDelayMs === undefined
    ? Infinity
    : Math.floor(maxDelayMs * longPollShare);
};

const createFreshness = (kernel: Kernel): ConfigurationFreshness => {
  const freshness = new ConfigurationFreshness({
    getRestoreSettlingMs: () =>
      getMaxDelayMs(kernel) ?? defaultRestoreSettlingMs,
    isFirstStart: kernel.get(settingsToken).current.isFirstStart,
  });
  kernel.get(tableToken).eras.onChange(({ era }) => {
    freshness.observeEra(era, readClocks(), true);
  });
  return freshness;
};

const choosePeers = (
  kernel: Kernel,
  excluded: ReadonlySet<string>,
): readonly Peer[] => {
  const registry = kernel.get(instanceRegistryToken);
  const topology = kernel.get(peerTopologyToken);
  const aggregators = topology.usesAggregators
    ? [topology.getAggregator(), ...topology.listRemoteAggregators()]
    : [];
  const names = chooseFreshnessSources({
    candidates: registry
      .listInstances()
      .filter(
        ({ name, state }) =>
          name !== registry.self.name &&
          state !== 'suspected' &&
          !excluded.has(name),
      ),
    dataCenter: registry.self.dataCenter,
    aggregators: new Set(aggregators),
    random: kernel.get(randomToken),
  });
  const mesh = kernel.get(peerMeshToken);
  return Maybe.catMaybes(names.map(name => mesh.getPeer(name)));
};

const createKeyGate = (kernel: Kernel): KeyGate => {
  const reader = kernel.get(configurationReaderToken);
  return new KeyGate({
    routes: kernel.get(routesToken),
    freshness: kernel.get(configurationFreshnessToken),
    reader,
    getMaxDelayMs: () => getMaxDelayMs(kernel),
    onStale: () => {
      void reader.requestRead();
      kernel.get(freshnessExchangeToken).askNow();
    },
    log: kernel.get(logToken),
  });
};

/** Provides the check of keys and starts what keeps the configuration recent. */
export const customersPlugin: Plugin = {
  name: 'customers',
  register: kernel => {
    kernel.provide(configurationFreshnessToken, createFreshness);
    kernel.provide(
      configurationReaderToken,
      resolver =>
        new ConfigurationReader(() =>
          resolver.get(routeWatcherToken).readNow(),
        ),
    );
    kernel.provide(
      freshnessExchangeToken,
      resolver =>
        new FreshnessExchange({
          freshness: resolver.get(configurationFreshnessToken),
          routes: resolver.get(routesToken),
          eras: resolver.get(tableToken).eras,
          getMaxDelayMs: () => getMaxDelayMs(resolver),
          requestRead: () => {
            void resolver.get(configurationReaderToken).requestRead();
          },
          choosePeers: excluded => choosePeers(resolver, excluded),
          random: resolver.get(randomToken),
        }),
    );
    kernel.provide(keyGateToken, createKeyGate);
    kernel.addLifecycleHook({
      name: 'customers',
      rank: startOrder.peers,
      start: () => {
        const { signal } = kernel.get(servingEndControllerToken);
        void kernel.get(freshnessExchangeToken).run(signal);
        return Promise.resolve();
      },
    });
  },
};
