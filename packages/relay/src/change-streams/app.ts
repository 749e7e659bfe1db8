/** Plugin for routes, targets and the watchers that update them from tables. */
import type { Kernel, Plugin } from '@medlarlever/core';

import {
  configurationFreshnessToken,
  crashTrackerToken,
  limitGroupToken,
  logToken,
  loadExchangeToken,
  randomToken,
  instanceRegistryToken,
  routeWatcherToken,
  routeSourceToken,
  routesToken,
  changeDistributorToken,
  settingsToken,
  servingEndControllerToken,
  targetClientToken,
  targetWatcherToken,
  targetSourceToken,
  targetAnnouncementsToken,
  targetRegistryToken,
  tableToken,
  peerTopologyToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';
import { getMaxLongPollMs } from '../customers/app.js';
import { TimedChangeStream } from '../customers/timed-change-stream.js';
import { RequestLimiter } from '../limits/request-limiter.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { readClocks } from '../shared/clock-reading.js';
import { PrefixCacheLoader } from '../targets/prefix-cache-loader.js';
import { TargetAnnouncements } from '../targets/target-announcements.js';
import { TargetRegistry } from '../targets/target-registry.js';

import {
  createRouteWatcher,
  createTargetWatcher,
} from './watcher-factories.js';
import { ChangeDistributor } from './change-distributor.js';
import { reportRestores } from './restore-reporter.js';
import type { TableSource } from './table-source.js';

/**
 * Creates the target registry. On all but the first start of the system, a new
 * target may already hold cached prefixes, so they are loaded from the target.
 */
const createTargetRegistry = (kernel: Kernel): TargetRegistry => {
  const client = kernel.get(targetClientToken);
  const cacheLoader = new PrefixCacheLoader({
    client,
    getTargets: () => kernel.get(targetRegistryToken),
    log: kernel.get(logToken),
    random: kernel.get(randomToken),
  });
  const { isFirstStart } = kernel.get(settingsToken).current;
  return new TargetRegistry({
    log: kernel.get(logToken),
    getKvCacheTokens: service =>
      kernel.get(routesToken).currentTable?.findService(service)?.engine
        ?.kvTokens,
    createLimiter: target =>
      new RequestLimiter({
        target,
        getGroup: kernel.get(limitGroupToken),
        random: kernel.get(randomToken),
      }),
    onTargetAdded: record => {
      if (!isFirstStart) void cacheLoader.loadCache(record);
    },
    onIncarnationEnded: record => {
      kernel.get(crashTrackerToken).confirmCrash(record.id);
      client.closeConnections(record.address);
    },
  });
};

const createRouteHolder = (kernel: Kernel): RouteTableHolder => {
  const routes = new RouteTableHolder(kernel.get(logToken));
  routes.onTableChange(({ version }) => {
    kernel.get(instanceRegistryToken).updateSelf({ revision: version });
  });
  return routes;
};

/** Wraps the source so that an aggregator can supply its changes to this instance. */
const shareTableSource = <T>(
  kernel: Kernel,
  source: TableSource<T>,
): TableSource<T> => ({
  ...source,
  changeStream: kernel
    .get(changeDistributorToken)
    .shareChangeStream(source.changeStream),
});

/** Wraps the source so that its reads tell how recent the configuration is. */
const timeTableSource = <T>(
  kernel: Kernel,
  source: TableSource<T>,
): TableSource<T> => ({
  ...source,
  changeStream: new TimedChangeStream(source.changeStream, () =>
    getMaxLongPollMs(kernel),
  ),
});

/** Provides routes and targets and starts their table watchers. */
export const changeStreamsPlugin: Plugin = {
  name: 'feed',
  register: kernel => {
    kernel.provide(
      changeDistributorToken,
      resolver =>
        new ChangeDistributor({
          listMembers: () => resolver.get(loadExchangeToken).listMembers(),
          acceptsConfirmations: member =>
            resolver.get(loadExchangeToken).acceptsRemote(member),
          eras: resolver.get(tableToken).eras,
          notifyMember: (member, method, params) => {
            resolver
              .get(peerTopologyToken)
              .notifyInstance(member, method, params);
          },
        }),
    );
    kernel.provide(routesToken, createRouteHolder);
    kernel.provide(targetRegistryToken, createTargetRegistry);
    kernel.provide(
      targetAnnouncementsToken,
      resolver =>
        new TargetAnnouncements({
          targets: resolver.get(targetRegistryToken),
          getTopology: () => resolver.get(peerTopologyToken),
          log: resolver.get(logToken),
          random: resolver.get(randomToken),
        }),
    );
    kernel.provide(routeWatcherToken, resolver =>
      createRouteWatcher(
        {
          source: shareTableSource(
            resolver,
            timeTableSource(resolver, resolver.get(routeSourceToken)),
          ),
          onRead: read => {
            resolver
              .get(configurationFreshnessToken)
              .recordRead(read, readClocks());
          },
          log: resolver.get(logToken),
          random: resolver.get(randomToken),
          waitMs: resolver.get(settingsToken).current.longPollMs,
        },
        resolver.get(routesToken),
      ),
    );
    kernel.provide(targetWatcherToken, resolver =>
      createTargetWatcher(
        {
          source: shareTableSource(resolver, resolver.get(targetSourceToken)),
          log: resolver.get(logToken),
          random: resolver.get(randomToken),
          waitMs: resolver.get(settingsToken).current.longPollMs,
        },
        resolver.get(targetRegistryToken),
      ),
    );
    kernel.addLifecycleHook({
      name: 'feeds',
      rank: startOrder.feeds,
      start: () => {
        const { signal } = kernel.get(servingEndControllerToken);
        reportRestores({
          eras: kernel.get(tableToken).eras,
          log: kernel.get(logToken),
          routes: kernel.get(routesToken),
          targets: kernel.get(targetRegistryToken),
          watchers: [
            kernel.get(routeWatcherToken),
            kernel.get(targetWatcherToken),
          ],
        });
        void kernel.get(routeWatcherToken).run(signal);
        void kernel.get(targetWatcherToken).run(signal);
        return Promise.resolve();
      },
      stop: () => {
        kernel.get(servingEndControllerToken).abort();
        return Promise.resolve();
      },
    });
  },
};
