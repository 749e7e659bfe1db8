/** Plugin that orders targets, as a duty of the leader, where the settings ask for it. */
import type { Kernel, Plugin } from '@medlarlever/core';

import {
  dutyClientToken,
  dutyLeaderToken,
  instanceRegistryToken,
  logToken,
  metricsRegistryToken,
  prefillDemandToken,
  routesToken,
  serviceStatesToken,
  settingsToken,
  tableToken,
  targetLinkToken,
  targetRegistryToken,
  targetWatcherToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

import { ScalingDuty } from './scaling-duty.js';
import { registerScalingGauges } from './scaling-gauges.js';
import { ScalingViewBuilder } from './scaling-view-builder.js';

/** Calls a second assumed if the settings no longer name an interface. */
const fallbackCallsPerSecond = 1;

const createScalingDuty = (kernel: Kernel): ScalingDuty =>
  new ScalingDuty({
    routes: kernel.get(routesToken),
    views: new ScalingViewBuilder({
      targets: kernel.get(targetRegistryToken),
      services: kernel.get(serviceStatesToken),
      demand: kernel.get(prefillDemandToken),
      instances: kernel.get(instanceRegistryToken),
      eras: kernel.get(tableToken).eras,
      targetWatcher: kernel.get(targetWatcherToken),
      isCutOff: () => kernel.get(targetLinkToken).isCutOff,
    }),
    client: kernel.get(dutyClientToken),
    getCallsPerSecond: () =>
      kernel.get(settingsToken).current.duties?.callsPerSecond ??
      fallbackCallsPerSecond,
    log: kernel.get(logToken),
  });

/** Registers the duty if the platform takes orders for targets. */
export const scalingPlugin: Plugin = {
  name: 'scaling',
  register: kernel => {
    kernel.addLifecycleHook({
      name: 'scaling',
      rank: startOrder.control,
      start: () => {
        const { duties } = kernel.get(settingsToken).current;
        if (duties?.ordersTargets !== true) return Promise.resolve();
        const duty = createScalingDuty(kernel);
        kernel.get(dutyLeaderToken).addDuty(duty);
        registerScalingGauges({
          registry: kernel.get(metricsRegistryToken),
          routes: kernel.get(routesToken),
          targets: kernel.get(targetRegistryToken),
          duty,
        });
        return Promise.resolve();
      },
    });
  },
};
