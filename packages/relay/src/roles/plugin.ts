/** Registers the decision on the engines' roles. */
import { LeaseKeeper } from '@medlarlever/core';
import type { Kernel, Plugin } from '@medlarlever/core';

import {
  demandPart,
  engineOrdersPart,
  incarnationPart,
  leavingPart,
  logPart,
  randomPart,
  registryPart,
  roleLeaderPart,
  roleNewsPart,
  routesPart,
  servicesPart,
  settingsPart,
  tablePart,
  targetsPart,
  topologyPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

import { ReadingDemand } from './prefill-demand.js';
import { RoleLeader } from './role-leader.js';
import { RoleNews } from './target-closure-broadcaster.js';

const createLeader = (kernel: Kernel): RoleLeader => {
  const { instance, orderTurnMs } = kernel.get(settingsPart).current;
  const table = kernel.get(tablePart);
  const random = kernel.get(randomPart);
  const log = kernel.get(logPart);
  const leases = new LeaseKeeper({
    table,
    self: { name: instance, incarnation: kernel.get(incarnationPart) },
    random,
    log,
    durationMs: orderTurnMs,
  });
  return new RoleLeader({
    table,
    leases,
    registry: kernel.get(registryPart),
    routes: kernel.get(routesPart),
    targets: kernel.get(targetsPart),
    services: kernel.get(servicesPart),
    demand: kernel.get(demandPart),
    orders: kernel.get(engineOrdersPart),
    news: kernel.get(roleNewsPart),
    log,
    random,
    turnMs: orderTurnMs,
  });
};

export const rolesApp: Plugin = {
  name: 'roles',
  register: kernel => {
    kernel.provide(demandPart, () => new ReadingDemand());
    kernel.provide(
      roleNewsPart,
      k => new RoleNews(k.get(topologyPart), k.get(targetsPart)),
    );
    kernel.provide(roleLeaderPart, createLeader);
    kernel.step({
      name: 'roles',
      rank: startRank.control,
      start: () => {
        const { signal } = kernel.get(leavingPart);
        void kernel.get(roleLeaderPart).run(signal);
        return Promise.resolve();
      },
    });
  },
};
