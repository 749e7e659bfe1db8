/**
 * Registers the configuration of the deployment: its holder, store, poller and
 * editor, and the authenticator that depends on it.
 */
import {
  ConfigurationEditor,
  ConfigurationHolder,
  ConfigurationPoller,
  ConfigurationStore,
  validateTemplateSet,
} from '@medlarlever/core';

import { CustomerAuthenticator } from '../auth/customer-authenticator.js';
import { registerFeature } from '../kernel/daemon-kernel.js';
import type { DaemonKernel } from '../kernel/daemon-kernel.js';
import {
  configurationHolderToken,
  configurationStoreToken,
  customerAuthenticatorToken,
  configurationEditorToken,
  logToken,
  peerMeshToken,
  objectStoreToken,
  configurationPollerToken,
  randomSourceToken,
  tableToken,
} from '../kernel/tokens.js';
import { startOrder } from '../kernel/start-order.js';

const createConfigurationEditor = (
  kernel: DaemonKernel,
): ConfigurationEditor => {
  const configurationPoller = kernel.get(configurationPollerToken);
  return new ConfigurationEditor({
    table: kernel.get(tableToken),
    store: kernel.get(configurationStoreToken),
    log: kernel.get(logToken),
    random: kernel.get(randomSourceToken),
    validateTemplates: validateTemplateSet,
    onCommitted: head => configurationPoller.publish(head),
  });
};

registerFeature('config', kernel => {
  kernel.provide(
    configurationHolderToken,
    resolver => new ConfigurationHolder(resolver.get(logToken)),
  );
  kernel.provide(
    configurationStoreToken,
    resolver =>
      new ConfigurationStore({
        table: resolver.get(tableToken),
        objects: resolver.get(objectStoreToken),
        random: resolver.get(randomSourceToken),
      }),
  );
  kernel.provide(
    configurationPollerToken,
    resolver =>
      new ConfigurationPoller({
        store: resolver.get(configurationStoreToken),
        holder: resolver.get(configurationHolderToken),
        peers: resolver.get(peerMeshToken),
        log: resolver.get(logToken),
        random: resolver.get(randomSourceToken),
      }),
  );
  kernel.provide(configurationEditorToken, () =>
    createConfigurationEditor(kernel),
  );
  kernel.provide(
    customerAuthenticatorToken,
    resolver =>
      new CustomerAuthenticator(resolver.get(configurationHolderToken)),
  );
  kernel.deferPeerMethods(() =>
    kernel.get(configurationPollerToken).peerMethods(),
  );
  kernel.addLifecycleHook({
    name: 'configuration',
    rank: startOrder.configuration,
    start: async () => {
      await kernel.get(configurationPollerToken).pollOnce();
      kernel.get(configurationPollerToken).start();
    },
    stop: () => kernel.get(configurationPollerToken).stop(),
  });
});
