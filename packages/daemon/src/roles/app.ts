/** Registers the role policy of this instance's data centre. */
import {
  PlannedRoleChanger,
  RoleController,
  createRolePolicy,
  engineSpeedSchema,
} from '@medlarlever/core';

import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  demandPart,
  directoryPart,
  loadBookPart,
  logPart,
  meshPart,
  planLeasePart,
  plannerPart,
  prefixesPart,
  randomPart,
  rolesPart,
  settingsPart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

import { Demand } from './demand-tracker.js';
import { LeasedViewSource } from './leased-view-source.js';

const createController = (kernel: DaemonKernel): RoleController => {
  const { policy, change_cost, period_ms } = kernel.get(settingsPart).roles;
  return new RoleController({
    policy: createRolePolicy(
      { policy, change_cost },
      engineSpeedSchema.parse({}),
    ),
    viewSource: new LeasedViewSource({
      lease: kernel.get(planLeasePart),
      directory: kernel.get(directoryPart),
      loads: kernel.get(loadBookPart),
      demand: kernel.get(demandPart),
    }),
    roleChanger: new PlannedRoleChanger(kernel.get(plannerPart)),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
    periodMs: period_ms,
  });
};

registerApp('roles', kernel => {
  kernel.provide(
    demandPart,
    k =>
      new Demand({
        peers: k.get(meshPart),
        prefixes: k.get(prefixesPart),
        directory: k.get(directoryPart),
      }),
  );
  kernel.provide(rolesPart, () => createController(kernel));
  kernel.deferMethods(() => kernel.get(demandPart).peerMethods());
  const stopping = new AbortController();
  kernel.addLifecycleHook({
    name: 'roles',
    rank: startRank.control,
    start: () => {
      void kernel.get(rolesPart).run(stopping.signal);
      return Promise.resolve();
    },
    stop: () => {
      stopping.abort();
      return Promise.resolve();
    },
  });
});
