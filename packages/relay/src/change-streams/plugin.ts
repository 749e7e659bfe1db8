/** Registers routes, targets and the tables that they follow. */
import type { Kernel, Plugin } from '@medlarlever/core';

import {
  crashesPart,
  logPart,
  newsPart,
  randomPart,
  registryPart,
  routeFollowerPart,
  routeSourcePart,
  routesPart,
  rowNewsPart,
  settingsPart,
  stoppingPart,
  targetClientPart,
  targetFollowerPart,
  targetSourcePart,
  targetsPart,
  topologyPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';
import { RouteTableHolder } from '../routes/route-table-holder.js';
import { PrefixCacheLoader } from '../targets/prefix-cache-loader.js';
import { TargetRegistry } from '../targets/target-registry.js';

import { followRoutes, followTargets } from './watcher-factories.js';
import { RowNews } from './change-distributor.js';
import type { RowSource } from './table-source.js';

const createTargets = (kernel: Kernel): TargetRegistry => {
  const client = kernel.get(targetClientPart);
  const learner = new PrefixCacheLoader({
    client,
    getTargets: () => kernel.get(targetsPart),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
  });
  const { firstStart } = kernel.get(settingsPart).current;
  return new TargetRegistry({
    log: kernel.get(logPart),
    getKvCacheTokens: service =>
      kernel.get(routesPart).currentTable?.findService(service)?.engine
        ?.kvTokens,
    onTargetAdded: record => {
      if (!firstStart) void learner.loadCache(record);
    },
    onIncarnationEnded: record => {
      kernel.get(crashesPart).confirmCrash(record.id);
      client.closeConnections(record.address);
    },
  });
};

const createRoutes = (kernel: Kernel): RouteTableHolder => {
  const routes = new RouteTableHolder(kernel.get(logPart));
  routes.onTableChange(({ version }) => {
    kernel.get(registryPart).updateSelf({ revision: version });
  });
  return routes;
};

/** The source, whose table a hub may follow for this instance. */
const shared = <T>(kernel: Kernel, source: RowSource<T>): RowSource<T> => ({
  ...source,
  feed: kernel.get(rowNewsPart).share(source.feed),
});

export const feedApp: Plugin = {
  name: 'feed',
  register: kernel => {
    kernel.provide(
      rowNewsPart,
      k =>
        new RowNews({
          members: () => k.get(newsPart).members(),
          tell: (member, method, params) => {
            k.get(topologyPart).tell(member, method, params);
          },
        }),
    );
    kernel.provide(routesPart, createRoutes);
    kernel.provide(targetsPart, createTargets);
    kernel.provide(routeFollowerPart, k =>
      followRoutes(
        {
          source: shared(k, k.get(routeSourcePart)),
          log: k.get(logPart),
          random: k.get(randomPart),
          waitMs: k.get(settingsPart).current.feedWaitMs,
        },
        k.get(routesPart),
      ),
    );
    kernel.provide(targetFollowerPart, k =>
      followTargets(
        {
          source: shared(k, k.get(targetSourcePart)),
          log: k.get(logPart),
          random: k.get(randomPart),
          waitMs: k.get(settingsPart).current.feedWaitMs,
        },
        k.get(targetsPart),
      ),
    );
    kernel.step({
      name: 'feeds',
      rank: startRank.feeds,
      start: () => {
        const { signal } = kernel.get(stoppingPart);
        void kernel.get(routeFollowerPart).run(signal);
        void kernel.get(targetFollowerPart).run(signal);
        return Promise.resolve();
      },
      stop: () => {
        kernel.get(stoppingPart).abort();
        return Promise.resolve();
      },
    });
  },
};
