/** Registers the configuration: holder, poller and editor. */
import {
  ConfigurationEditor,
  ConfigurationHolder,
  ConfigurationPoller,
  ConfigurationStore,
  validateTemplateSet,
} from '@medlarlever/core';

import { Customers } from '../auth/customer-authenticator.js';
import { registerApp } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  configurationPart,
  configurationStorePart,
  customersPart,
  editorPart,
  logPart,
  meshPart,
  objectStorePart,
  pollerPart,
  randomPart,
  tablePart,
} from '../kernel/tokens.js';
import { startRank } from '../kernel/start-order.js';

const createEditor = (kernel: DaemonKernel): ConfigurationEditor => {
  const poller = kernel.get(pollerPart);
  return new ConfigurationEditor({
    table: kernel.get(tablePart),
    store: kernel.get(configurationStorePart),
    log: kernel.get(logPart),
    random: kernel.get(randomPart),
    validateTemplates: validateTemplateSet,
    onCommitted: head => poller.publish(head),
  });
};

registerApp('config', kernel => {
  kernel.provide(
    configurationPart,
    k => new ConfigurationHolder(k.get(logPart)),
  );
  kernel.provide(
    configurationStorePart,
    k =>
      new ConfigurationStore({
        table: k.get(tablePart),
        objects: k.get(objectStorePart),
        random: k.get(randomPart),
      }),
  );
  kernel.provide(
    pollerPart,
    k =>
      new ConfigurationPoller({
        store: k.get(configurationStorePart),
        holder: k.get(configurationPart),
        peers: k.get(meshPart),
        log: k.get(logPart),
        random: k.get(randomPart),
      }),
  );
  kernel.provide(editorPart, () => createEditor(kernel));
  kernel.provide(customersPart, k => new Customers(k.get(configurationPart)));
  kernel.deferMethods(() => kernel.get(pollerPart).peerMethods());
  kernel.addLifecycleHook({
    name: 'configuration',
    rank: startRank.configuration,
    start: async () => {
      await kernel.get(pollerPart).pollOnce();
      kernel.get(pollerPart).start();
    },
    stop: () => kernel.get(pollerPart).stop(),
  });
});
