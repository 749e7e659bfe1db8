/** Plug-in that finds out whether targets are reached, and hands requests over if not. */
import type { Plugin } from '@medlarlever/core';

import {
  cutOffInstancesToken,
  instanceRegistryToken,
  logToken,
  randomToken,
  requestForwarderToken,
  servingEndControllerToken,
  targetClientToken,
  targetLinkToken,
  targetProbeToken,
  targetRegistryToken,
} from '../kernel/tokens.js';
import { awaitCloseOrTimeout } from '../kernel/close-timeout.js';
import { startOrder } from '../kernel/start-order.js';
import { createTargetProbe } from '../relay/shared-target-probe.js';
import { TargetLink } from '../targets/target-link.js';

import { CutOffInstances } from './cut-off-instances.js';
import { HttpRequestForwarder } from './http-request-forwarder.js';

export const forwardingPlugin: Plugin = {
  name: 'forwarding',
  register: kernel => {
    kernel.provide(cutOffInstancesToken, () => new CutOffInstances());
    kernel.provide(targetProbeToken, resolver =>
      createTargetProbe(resolver.get(targetClientToken)),
    );
    kernel.provide(targetLinkToken, resolver => {
      const client = resolver.get(targetClientToken);
      const targets = resolver.get(targetRegistryToken);
      return new TargetLink({
        targets,
        probe: resolver.get(targetProbeToken),
        // Connections that are kept may stay silent for good after the cut.
        onCut: () => {
          for (const { record } of targets.listTargets())
            client.closeConnections(record.address);
        },
        log: resolver.get(logToken),
        random: resolver.get(randomToken),
      });
    });
    kernel.provide(
      requestForwarderToken,
      resolver =>
        new HttpRequestForwarder({
          registry: resolver.get(instanceRegistryToken),
          isCutOff: instance =>
            resolver.get(cutOffInstancesToken).has(instance),
          random: resolver.get(randomToken),
        }),
    );
    kernel.addLifecycleHook({
      name: 'target link',
      rank: startOrder.feeds,
      start: () => {
        const { signal } = kernel.get(servingEndControllerToken);
        void kernel.get(targetLinkToken).run(signal);
        return Promise.resolve();
      },
      stop: () =>
        awaitCloseOrTimeout(kernel.get(requestForwarderToken).close()),
    });
  },
};
