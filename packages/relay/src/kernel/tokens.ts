/** Tokens of the parts that the relay's features share. */
import { Token } from '@medlarlever/core';
import type { InstanceRegistry, Log, PeerMesh, Table } from '@medlarlever/core';
import type { Registry } from 'prom-client';

import type { TableWatcher } from '../change-streams/table-watcher.js';
import type { ChangeDistributor } from '../change-streams/change-distributor.js';
import type { TableSource } from '../change-streams/table-source.js';
import type { InstanceDirectory } from '../peers/instance-directory.js';
import type { LoadExchange } from '../peers/load-exchange.js';
import type { PeerTopology } from '../peers/peer-topology.js';
import type { PeerSnapshots } from '../peers/peer-snapshots.js';
import type { Relay } from '../relay/relay.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { TargetClient } from '../relay/target-client.js';
import type { CrashTracker } from '../retries/crash-tracker.js';
import type { EngineControlClient } from '../roles/engine-control-client.js';
import type { PrefillDemand } from '../roles/prefill-demand.js';
import type { RoleLeader } from '../roles/role-leader.js';
import type { TargetClosureBroadcaster } from '../roles/target-closure-broadcaster.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { RouteConfiguration } from '../routes/route-configuration.js';
import type { RequestDrainer } from '../server/request-drainer.js';
import type { EventLoopDelayMonitor } from '../server/event-loop-delay-monitor.js';
import type { RequestDecoder } from '../server/request-decoder.js';
import type { SettingsHolder } from '../settings/relay-settings.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord } from '../targets/target-record.js';

/** Given by the adapter of a platform. */
export const settingsToken = new Token<SettingsHolder>('settings');
export const logToken = new Token<Log>('log');
export const droppedLogLinesToken = new Token<() => number>('dropped-lines');
export const tableToken = new Token<Table>('table');
export const targetClientToken = new Token<TargetClient>('target-client');
export const engineControlClientToken = new Token<EngineControlClient>(
  'engine-orders',
);
export const requestDecoderToken = new Token<RequestDecoder>('request-decoder');
export const routeSourceToken = new Token<TableSource<RouteConfiguration>>(
  'route-source',
);
export const targetSourceToken = new Token<TableSource<TargetRecord>>(
  'target-source',
);

/** Built by the features. */
export const randomToken = new Token<() => number>('random');
export const incarnationToken = new Token<string>('incarnation');
/** Aborts when the process begins to stop, and when it has stopped serving. */
export const shutdownStartControllerToken = new Token<AbortController>(
  'leaving',
);
export const servingEndControllerToken = new Token<AbortController>('stopping');
export const metricsRegistryToken = new Token<Registry>('metrics');
export const routesToken = new Token<RouteTableHolder>('routes');
export const targetsToken = new Token<TargetRegistry>('targets');
export const changeDistributorToken = new Token<ChangeDistributor>('row-news');
export const routeWatcherToken = new Token<TableWatcher>('route-follower');
export const targetWatcherToken = new Token<TableWatcher>('target-follower');
export const serviceStatesToken = new Token<ServiceStates>('services');
export const crashCountsToken = new Token<CrashTracker>('crashes');
export const prefillDemandToken = new Token<PrefillDemand>('demand');
export const instanceRegistryToken = new Token<InstanceRegistry>('registry');
export const peerMeshToken = new Token<PeerMesh>('mesh');
export const instanceDirectoryToken = new Token<InstanceDirectory>(
  'instance-rows',
);
/** Instances among which shares are divided. */
export const instanceCountToken = new Token<() => number>('instance-count');
/** Whom an instance tells its news. */
export const peerTopologyToken = new Token<PeerTopology>('news-topology');
export const loadExchangeToken = new Token<LoadExchange>('news');
export const peerSnapshotsToken = new Token<PeerSnapshots>('snapshots');
export const targetClosureBroadcasterToken =
  new Token<TargetClosureBroadcaster>('role-news');
export const roleLeaderToken = new Token<RoleLeader>('role-leader');
export const relayToken = new Token<Relay>('relay');
export const requestDrainerToken = new Token<RequestDrainer>('drain');
export const eventLoopDelayMonitorToken = new Token<EventLoopDelayMonitor>(
  'loop-delay',
);
