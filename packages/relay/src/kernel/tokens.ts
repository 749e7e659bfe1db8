/** Injection tokens of the dependencies that the relay's plugins share. */
import { InjectionToken } from '@medlarlever/core';
import type { InstanceRegistry, Log, PeerMesh, Table } from '@medlarlever/core';
import type { Registry } from 'prom-client';

import type { TableWatcher } from '../change-streams/table-watcher.js';
import type { ChangeDistributor } from '../change-streams/change-distributor.js';
import type { TableSource } from '../change-streams/table-source.js';
import type { ConfigurationFreshness } from '../customers/configuration-freshness.js';
import type { ConfigurationReader } from '../customers/configuration-reader.js';
import type { FreshnessExchange } from '../customers/freshness-exchange.js';
import type { KeyGate } from '../customers/key-gate.js';
import type { LimitGroup } from '../limits/limit-share.js';
import type { StreamOriginFinder } from '../origins/stream-origin-finder.js';
import type { StreamOrigins } from '../origins/stream-origins.js';
import type { DutyClient } from '../duties/duty-client.js';
import type { DutyLeader } from '../duties/duty-leader.js';
import type { InstanceDirectory } from '../peers/instance-directory.js';
import type { LoadExchange } from '../peers/load-exchange.js';
import type { PeerTopology } from '../peers/peer-topology.js';
import type { PeerSnapshots } from '../peers/peer-snapshots.js';
import type { CallerBuffers } from '../buffers/caller-buffers.js';
import type { Relay } from '../relay/relay.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { TargetClient } from '../relay/target-client.js';
import type { CrashTracker } from '../crashes/crash-tracker.js';
import type { CutOffInstances } from '../forwarding/cut-off-instances.js';
import type { HttpRequestForwarder } from '../forwarding/http-request-forwarder.js';
import type { TargetLink } from '../targets/target-link.js';
import type { TargetProbe } from '../targets/target-probe.js';
import type { PromptQuarantine } from '../crashes/prompt-quarantine.js';
import type { EngineControlClient } from '../roles/engine-control-client.js';
import type { PrefillDemand } from '../roles/prefill-demand.js';
import type { TargetClosureBroadcaster } from '../roles/target-closure-broadcaster.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { RouteConfiguration } from '../routes/route-configuration.js';
import type { RequestDrainer } from '../server/request-drainer.js';
import type { RelayMetrics } from '../metrics/relay-metrics.js';
import type { OverloadGuard } from '../relay/overload.js';
import type { EventLoopDelayMonitor } from '../server/event-loop-delay-monitor.js';
import type { EventLoopUsage } from '../server/event-loop-usage.js';
import type { RequestDecoder } from '../server/request-decoder.js';
import type { SettingsHolder } from '../settings/relay-settings.js';
import type { TargetAnnouncements } from '../targets/target-announcements.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord } from '../targets/target-record.js';
import type { UsageParts } from '../usage/usage-parts.js';

// Tokens provided by the platform adapter.
export const settingsToken = new InjectionToken<SettingsHolder>('settings');
export const logToken = new InjectionToken<Log>('log');
export const droppedLogLinesToken = new InjectionToken<() => number>(
  'dropped-lines',
);
export const tableToken = new InjectionToken<Table>('table');
export const targetClientToken = new InjectionToken<TargetClient>(
  'target-client',
);
export const engineControlClientToken = new InjectionToken<EngineControlClient>(
  'engine-orders',
);
export const requestDecoderToken = new InjectionToken<RequestDecoder>(
  'request-decoder',
);
export const routeSourceToken = new InjectionToken<
  TableSource<RouteConfiguration>
>('route-source');
export const targetSourceToken = new InjectionToken<TableSource<TargetRecord>>(
  'target-source',
);

/** Provided only if the settings have `duties`. */
export const dutyClientToken = new InjectionToken<DutyClient>('duty-client');

// Tokens provided by the daemon and the plugins.
export const randomToken = new InjectionToken<() => number>('random');
export const incarnationToken = new InjectionToken<string>('incarnation');
/** Aborts when the process begins to stop. */
export const shutdownStartControllerToken = new InjectionToken<AbortController>(
  'leaving',
);
/** Aborts when the process has stopped serving requests. */
export const servingEndControllerToken = new InjectionToken<AbortController>(
  'stopping',
);
export const metricsRegistryToken = new InjectionToken<Registry>('metrics');
export const routesToken = new InjectionToken<RouteTableHolder>('routes');
export const targetRegistryToken = new InjectionToken<TargetRegistry>(
  'targets',
);
export const targetAnnouncementsToken = new InjectionToken<TargetAnnouncements>(
  'target-announcements',
);
export const changeDistributorToken = new InjectionToken<ChangeDistributor>(
  'row-news',
);
export const routeWatcherToken = new InjectionToken<TableWatcher>(
  'route-follower',
);
export const targetWatcherToken = new InjectionToken<TableWatcher>(
  'target-follower',
);
export const serviceStatesToken = new InjectionToken<ServiceStates>('services');
export const crashTrackerToken = new InjectionToken<CrashTracker>('crashes');
export const targetLinkToken = new InjectionToken<TargetLink>('target-link');
export const targetProbeToken = new InjectionToken<TargetProbe>('target-probe');
export const cutOffInstancesToken = new InjectionToken<CutOffInstances>(
  'cut-off-instances',
);
export const requestForwarderToken = new InjectionToken<HttpRequestForwarder>(
  'request-forwarder',
);
export const promptQuarantineToken = new InjectionToken<PromptQuarantine>(
  'prompt-quarantine',
);
export const prefillDemandToken = new InjectionToken<PrefillDemand>('demand');
export const instanceRegistryToken = new InjectionToken<InstanceRegistry>(
  'registry',
);
export const peerMeshToken = new InjectionToken<PeerMesh>('mesh');
export const instanceDirectoryToken = new InjectionToken<InstanceDirectory>(
  'instance-rows',
);
/** Returns the number of instances among which the retry budget is divided. */
export const instanceCountToken = new InjectionToken<() => number>(
  'instance-count',
);
/** Returns the number of instances among which the connections to a target are divided. */
export const seenInstanceCountToken = new InjectionToken<() => number>(
  'seen-instance-count',
);
/** Returns the instances among which the limits of targets are divided. */
export const limitGroupToken = new InjectionToken<() => LimitGroup>(
  'limit-group',
);
/** Determines which peers exchange reports with this instance. */
export const peerTopologyToken = new InjectionToken<PeerTopology>(
  'news-topology',
);
export const loadExchangeToken = new InjectionToken<LoadExchange>('news');
export const streamOriginsToken = new InjectionToken<StreamOrigins>(
  'stream-origins',
);
export const streamOriginFinderToken = new InjectionToken<StreamOriginFinder>(
  'stream-origin-finder',
);
export const peerSnapshotsToken = new InjectionToken<PeerSnapshots>(
  'snapshots',
);
export const targetClosureBroadcasterToken =
  new InjectionToken<TargetClosureBroadcaster>('role-news');
export const configurationFreshnessToken =
  new InjectionToken<ConfigurationFreshness>('configuration-freshness');
export const configurationReaderToken = new InjectionToken<ConfigurationReader>(
  'configuration-reader',
);
export const freshnessExchangeToken = new InjectionToken<FreshnessExchange>(
  'freshness-exchange',
);
export const keyGateToken = new InjectionToken<KeyGate>('key-gate');
export const dutyLeaderToken = new InjectionToken<DutyLeader>('duty-leader');
/** Undefined if the settings ask for no usage reports. */
export const usageToken = new InjectionToken<UsageParts | undefined>('usage');
export const callerBuffersToken = new InjectionToken<CallerBuffers>(
  'caller-buffers',
);
export const relayToken = new InjectionToken<Relay>('relay');
export const requestDrainerToken = new InjectionToken<RequestDrainer>('drain');
export const eventLoopUsageToken = new InjectionToken<EventLoopUsage>(
  'event-loop-usage',
);
export const eventLoopDelayMonitorToken =
  new InjectionToken<EventLoopDelayMonitor>('loop-delay');
export const overloadGuardToken = new InjectionToken<OverloadGuard>(
  'overload-guard',
);
export const relayMetricsToken = new InjectionToken<RelayMetrics>(
  'relay-metrics',
);
