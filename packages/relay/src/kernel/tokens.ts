/** Tokens of the parts that the relay's features share. */
import { Token } from '@medlarlever/core';
import type { InstanceRegistry, Log, PeerMesh, Table } from '@medlarlever/core';
import type { Registry } from 'prom-client';

import type { FeedFollower } from '../change-streams/table-watcher.js';
import type { RowNews } from '../change-streams/change-distributor.js';
import type { RowSource } from '../change-streams/table-source.js';
import type { InstanceRows } from '../peers/instance-directory.js';
import type { LoadNews } from '../peers/load-exchange.js';
import type { NewsTopology } from '../peers/peer-topology.js';
import type { Snapshots } from '../peers/peer-snapshots.js';
import type { Relay } from '../relay/relay.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { TargetClient } from '../relay/target-client.js';
import type { CrashTracker } from '../retries/crash-tracker.js';
import type { EngineOrders } from '../roles/engine-control-client.js';
import type { ReadingDemand } from '../roles/prefill-demand.js';
import type { RoleLeader } from '../roles/role-leader.js';
import type { RoleNews } from '../roles/target-closure-broadcaster.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { RouteConfiguration } from '../routes/route-configuration.js';
import type { Drain } from '../server/request-drainer.js';
import type { LoopDelay } from '../server/event-loop-delay-monitor.js';
import type { RequestDecoder } from '../server/request-decoder.js';
import type { SettingsHolder } from '../settings/relay-settings.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetRecord } from '../targets/target-record.js';

/** Given by the adapter of a platform. */
export const settingsPart = new Token<SettingsHolder>('settings');
export const logPart = new Token<Log>('log');
export const droppedLinesPart = new Token<() => number>('dropped-lines');
export const tablePart = new Token<Table>('table');
export const targetClientPart = new Token<TargetClient>('target-client');
export const engineOrdersPart = new Token<EngineOrders>('engine-orders');
export const requestDecoderPart = new Token<RequestDecoder>('request-decoder');
export const routeSourcePart = new Token<RowSource<RouteConfiguration>>(
  'route-source',
);
export const targetSourcePart = new Token<RowSource<TargetRecord>>(
  'target-source',
);

/** Built by the features. */
export const randomPart = new Token<() => number>('random');
export const incarnationPart = new Token<string>('incarnation');
/** Aborts when the process begins to stop, and when it has stopped serving. */
export const leavingPart = new Token<AbortController>('leaving');
export const stoppingPart = new Token<AbortController>('stopping');
export const metricsPart = new Token<Registry>('metrics');
export const routesPart = new Token<RouteTableHolder>('routes');
export const targetsPart = new Token<TargetRegistry>('targets');
export const rowNewsPart = new Token<RowNews>('row-news');
export const routeFollowerPart = new Token<FeedFollower>('route-follower');
export const targetFollowerPart = new Token<FeedFollower>('target-follower');
export const servicesPart = new Token<ServiceStates>('services');
export const crashesPart = new Token<CrashTracker>('crashes');
export const demandPart = new Token<ReadingDemand>('demand');
export const registryPart = new Token<InstanceRegistry>('registry');
export const meshPart = new Token<PeerMesh>('mesh');
export const instanceRowsPart = new Token<InstanceRows>('instance-rows');
/** Instances among which shares are divided. */
export const instanceCountPart = new Token<() => number>('instance-count');
/** Whom an instance tells its news. */
export const topologyPart = new Token<NewsTopology>('news-topology');
export const newsPart = new Token<LoadNews>('news');
export const snapshotsPart = new Token<Snapshots>('snapshots');
export const roleNewsPart = new Token<RoleNews>('role-news');
export const roleLeaderPart = new Token<RoleLeader>('role-leader');
export const relayPart = new Token<Relay>('relay');
export const drainPart = new Token<Drain>('drain');
export const loopDelayPart = new Token<LoopDelay>('loop-delay');
