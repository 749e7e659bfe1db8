/** Plugin for the exchange of data between instances and the peer interface. */
import {
  BodyReader,
  InstanceRegistry,
  JsonRpcPeer,
  PeerMesh,
} from '@medlarlever/core';
import type { Kernel, Peer, Plugin } from '@medlarlever/core';
import { Maybe } from 'purify-ts';

import { awaitCloseOrTimeout } from '../kernel/close-timeout.js';
import {
  crashTrackerToken,
  cutOffInstancesToken,
  relayToken,
  requestDrainerToken,
  targetLinkToken,
  prefillDemandToken,
  freshnessExchangeToken,
  promptQuarantineToken,
  incarnationToken,
  instanceCountToken,
  instanceDirectoryToken,
  logToken,
  peerMeshToken,
  loadExchangeToken,
  randomToken,
  instanceRegistryToken,
  seenInstanceCountToken,
  limitGroupToken,
  targetClosureBroadcasterToken,
  routesToken,
  changeDistributorToken,
  serviceStatesToken,
  settingsToken,
  peerSnapshotsToken,
  servingEndControllerToken,
  streamOriginFinderToken,
  streamOriginsToken,
  tableToken,
  targetAnnouncementsToken,
  targetRegistryToken,
  targetWatcherToken,
  peerTopologyToken,
  usageToken,
} from '../kernel/tokens.js';
import { selectLimitGroup } from '../limits/limit-group.js';
import type { LimitGroup } from '../limits/limit-share.js';
import { StreamOriginFinder } from '../origins/stream-origin-finder.js';
import { StreamOrigins } from '../origins/stream-origins.js';
import { startOrder } from '../kernel/start-order.js';
import { CoalescedCall } from '../shared/coalesced-call.js';
import { computeStreamLifetimeMs } from '../targets/software-versions.js';
import { isKnownAddress } from '../forwarding/known-addresses.js';
import { createForwardedRequestHandler } from '../forwarding/forwarded-request-handler.js';
import { getMaxBodyMemory } from '../server/body-memory.js';
import { createListenerGuard } from '../server/listener-limits.js';
import { openPeerInterface } from '../server/peer-interface.js';

import { LimitReports } from './limit-reports.js';
import { InstanceDirectory } from './instance-directory.js';
import { listKnownInstances } from './known-instances.js';
import type { KnownInstances } from './known-instances.js';
import { LoadExchange } from './load-exchange.js';
import { PeerMeshTopology } from './peer-topology.js';
import { PeerSnapshots } from './peer-snapshots.js';

const formatPeerAddress = (kernel: Kernel): string => {
  const { host, port } = kernel.get(settingsToken).current.peers;
  return `${host}:${port}`;
};

const createInstanceRegistry = (kernel: Kernel): InstanceRegistry => {
  const { instance, dataCenter } = kernel.get(settingsToken).current;
  return new InstanceRegistry({
    name: instance,
    dataCenter,
    incarnation: kernel.get(incarnationToken),
    address: formatPeerAddress(kernel),
    state: 'live',
    revision: 0,
    startedAtMs: Date.now(),
    version: 0,
  });
};

const createPeerMesh = (kernel: Kernel): PeerMesh => {
  const settings = kernel.get(settingsToken);
  const directory = kernel.get(instanceDirectoryToken);
  return new PeerMesh({
    registry: kernel.get(instanceRegistryToken),
    log: kernel.get(logToken),
    random: kernel.get(randomToken),
    listSeedAddresses: () => [
      ...new Set([...settings.current.contacts, ...directory.peerAddresses]),
    ],
    // No secret is needed: the platform's network rules allow only instances to
    // reach the peer interface.
    connectPeer: record =>
      new JsonRpcPeer({
        ...record,
        secret: '',
        self: settings.current.instance,
      }),
  });
};

const createLoadExchange = (kernel: Kernel): LoadExchange =>
  new LoadExchange({
    self: kernel.get(settingsToken).current.instance,
    log: kernel.get(logToken),
    topology: kernel.get(peerTopologyToken),
    targets: kernel.get(targetRegistryToken),
    crashes: kernel.get(crashTrackerToken),
    promptQuarantine: kernel.get(promptQuarantineToken),
    targetLink: kernel.get(targetLinkToken),
    cutOffInstances: kernel.get(cutOffInstancesToken),
    limits: new LimitReports({
      targets: kernel.get(targetRegistryToken),
      log: kernel.get(logToken),
    }),
    services: kernel.get(serviceStatesToken),
    demand: kernel.get(prefillDemandToken),
    origins: kernel.get(streamOriginsToken),
    hasConfirmations: () => kernel.get(changeDistributorToken).hasConfirmations,
    takeConfirmations: () =>
      kernel.get(changeDistributorToken).takeConfirmations(),
    onConfirmations: confirmations => {
      kernel.get(changeDistributorToken).applyConfirmations(confirmations);
    },
    getRevision: () => kernel.get(routesToken).version,
    onNewerRevision: from => {
      void kernel.get(peerSnapshotsToken).requestSnapshot(from);
    },
  });

const createInstanceDirectory = (kernel: Kernel): InstanceDirectory =>
  new InstanceDirectory({
    table: kernel.get(tableToken),
    name: kernel.get(settingsToken).current.instance,
    address: formatPeerAddress(kernel),
    random: kernel.get(randomToken),
    log: kernel.get(logToken),
  });

const getKnownInstances = (kernel: Kernel): KnownInstances => {
  const directory = kernel.get(instanceDirectoryToken);
  const registry = kernel.get(instanceRegistryToken);
  return listKnownInstances({
    self: registry.self.name,
    heardNames: registry.listInstances().map(({ name }) => name),
    directoryNames: directory.instanceNames,
    isDirectorySettled: directory.isSettled,
  });
};

/**
 * Lists the peers that keep the origins of streams: all that are live, or in a large
 * deployment the aggregators.
 */
const listOriginKeepers = (kernel: Kernel): Peer[] => {
  const topology = kernel.get(peerTopologyToken);
  const registry = kernel.get(instanceRegistryToken);
  const names = topology.usesAggregators
    ? [topology.getAggregator(), ...topology.listRemoteAggregators()]
    : registry
        .listInstances()
        .filter(({ state }) => state !== 'suspected')
        .map(({ name }) => name);
  return Maybe.catMaybes(
    names
      .filter(name => name !== registry.self.name)
      .map(name => kernel.get(peerMeshToken).getPeer(name)),
  );
};

const createStreamOriginFinder = (kernel: Kernel): StreamOriginFinder => {
  const targetWatcher = kernel.get(targetWatcherToken);
  const targetRefresh = new CoalescedCall(() => targetWatcher.catchUp());
  return new StreamOriginFinder({
    origins: kernel.get(streamOriginsToken),
    listPeers: () => listOriginKeepers(kernel),
    findOnlyVersion: service =>
      kernel.get(targetRegistryToken).findOnlyVersion(service, {
        knownForMs: targetWatcher.historyMs,
        streamLifetimeMs: computeStreamLifetimeMs(
          kernel.get(routesToken).currentTable?.getLongestTimeoutMs(service),
        ),
      }),
    refreshTargets: () => targetRefresh.run(),
  });
};

/** Selects the instances among which the limits of targets are divided. */
const getLimitGroup = (kernel: Kernel): LimitGroup =>
  selectLimitGroup({
    self: kernel.get(settingsToken).current.instance,
    instances: kernel.get(instanceRegistryToken).listInstances(),
    knownInstances: getKnownInstances(kernel),
  });

/**
 * Requests a snapshot from a peer whenever the peer has a newer configuration or
 * this instance knows no target.
 */
const requestMissingSnapshots = (kernel: Kernel): void => {
  const { instance } = kernel.get(settingsToken).current;
  kernel.get(instanceRegistryToken).onChange(({ name, revision }) => {
    if (name === instance) return;
    const isOutdated = revision > kernel.get(routesToken).version;
    if (isOutdated || kernel.get(targetRegistryToken).targetCount === 0) {
      void kernel.get(peerSnapshotsToken).requestSnapshot(name);
    }
  });
};

/**
 * True if an instance has the address. Without customers no request names a customer, and
 * every sender is taken for an instance, as the platform's network rules allow no other.
 */
const isInstanceAddress = (
  kernel: Kernel,
  remoteAddress: string | undefined,
): boolean => {
  if (!kernel.get(routesToken).currentTable?.requiresKeys) return true;
  return isKnownAddress(remoteAddress, [
    ...kernel
      .get(instanceRegistryToken)
      .listInstances()
      .map(({ address }) => address),
    ...kernel.get(instanceDirectoryToken).peerAddresses,
  ]);
};

/** Share of the process memory that calls of other instances may take. */
const callMemoryShare = 0.05;

/** True if the settings speak of customers, whether or not a configuration is known yet. */
const mayHaveCustomers = (kernel: Kernel): boolean => {
  const { revocation, usage } = kernel.get(settingsToken).current;
  return revocation !== undefined || usage !== undefined;
};

/** Starts the peer interface and the background tasks; returns its close function. */
const startPeerInterface = async (
  kernel: Kernel,
): Promise<() => Promise<void>> => {
  kernel.get(peerMeshToken).registerMethods(kernel);
  kernel.get(loadExchangeToken).registerMethods(kernel);
  kernel.get(peerSnapshotsToken).registerMethods(kernel);
  kernel.get(targetClosureBroadcasterToken).registerMethods(kernel);
  kernel.get(changeDistributorToken).registerMethods(kernel);
  kernel.get(targetAnnouncementsToken).registerMethods(kernel);
  kernel.get(streamOriginFinderToken).registerMethods(kernel);
  kernel.get(freshnessExchangeToken).registerMethods(kernel);
  kernel.get(usageToken)?.exchange.registerMethods(kernel);
  const close = await openPeerInterface({
    kernel,
    log: kernel.get(logToken),
    serveForwardedRequest: createForwardedRequestHandler({
      relay: kernel.get(relayToken),
      drainer: kernel.get(requestDrainerToken),
      log: kernel.get(logToken),
      isAccepted: remoteAddress => isInstanceAddress(kernel, remoteAddress),
      getMemoryBytes: () => kernel.get(settingsToken).current.memoryBytes,
    }),
    guard: createListenerGuard(kernel, 'peers'),
    bodyReader: new BodyReader(() =>
      getMaxBodyMemory(
        kernel.get(settingsToken).current.memoryBytes,
        callMemoryShare,
      ),
    ),
    ...kernel.get(settingsToken).current.peers,
  });
  const { signal } = kernel.get(servingEndControllerToken);
  void kernel.get(peerMeshToken).maintainUntilStopped();
  void kernel.get(loadExchangeToken).run(signal);
  void kernel.get(instanceDirectoryToken).run(signal);
  requestMissingSnapshots(kernel);
  return close;
};

/** Provides and starts the services for the exchange between instances. */
export const peersPlugin: Plugin = {
  name: 'news',
  register: kernel => {
    let close: () => Promise<void> = () => Promise.resolve();
    kernel.provide(instanceRegistryToken, createInstanceRegistry);
    kernel.provide(instanceDirectoryToken, createInstanceDirectory);
    kernel.provide(peerMeshToken, createPeerMesh);
    kernel.provide(
      peerTopologyToken,
      resolver =>
        new PeerMeshTopology(resolver.get(instanceRegistryToken), () =>
          resolver.get(peerMeshToken),
        ),
    );
    kernel.provide(loadExchangeToken, createLoadExchange);
    kernel.provide(
      instanceCountToken,
      resolver => () => getKnownInstances(resolver).names.length,
    );
    kernel.provide(
      seenInstanceCountToken,
      resolver => () => getKnownInstances(resolver).seenCount,
    );
    kernel.provide(streamOriginsToken, () => new StreamOrigins());
    kernel.provide(streamOriginFinderToken, createStreamOriginFinder);
    kernel.provide(limitGroupToken, resolver => () => getLimitGroup(resolver));
    kernel.provide(
      peerSnapshotsToken,
      resolver =>
        new PeerSnapshots({
          getMesh: () => resolver.get(peerMeshToken),
          routes: resolver.get(routesToken),
          targets: resolver.get(targetRegistryToken),
          log: resolver.get(logToken),
          mayHaveCustomers: () => mayHaveCustomers(resolver),
        }),
    );
    kernel.addLifecycleHook({
      name: 'peers',
      rank: startOrder.peers,
      start: async () => {
        close = await startPeerInterface(kernel);
      },
      stop: async () => {
        await awaitCloseOrTimeout(close());
        await awaitCloseOrTimeout(kernel.get(peerMeshToken).stop());
      },
    });
  },
};
