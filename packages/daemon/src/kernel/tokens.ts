/** Tokens of the parts that features share. */
import { Token } from '@medlarlever/core';
import type {
  ClosedTargets,
  ConfigurationEditor,
  ConfigurationHolder,
  ConfigurationPoller,
  ConfigurationStore,
  DispatchNotifier,
  FairAdmission,
  FleetDirectory,
  FleetList,
  FleetWatcher,
  InstanceRegistry,
  LeaseKeeper,
  LoadEstimator,
  LoadPoller,
  Ledger,
  Log,
  ObjectStore,
  OrderBook,
  PeerMesh,
  PeerServer,
  PlanLease,
  PlanRunner,
  PlanStore,
  Planner,
  PrefixIndex,
  RequestMetrics,
  RoleController,
  Router,
  ServiceDispatcher,
  ServiceTargets,
  StreamDispatcher,
  Table,
  TableQuarantine,
  TargetFactory,
} from '@medlarlever/core';
import type { Registry } from 'prom-client';

import type { Customers } from '../auth/customer-authenticator.js';
import type { Generations } from '../generations/generation-service.js';
import type { Readiness } from '../health/readiness.js';
import type { RequestLog } from '../requests/request-log.js';
import type { Demand } from '../roles/demand-tracker.js';
import type { Listeners } from '../server/listener-registry.js';
import type { Settings } from '../settings/settings.js';

export const settingsPart = new Token<Settings>('settings');
export const logPart = new Token<Log>('log');
export const randomPart = new Token<() => number>('random');
export const incarnationPart = new Token<string>('incarnation');
export const metricsPart = new Token<Registry>('metrics');

export const tablePart = new Token<Table>('table');
export const objectStorePart = new Token<ObjectStore>('object-store');
export const fleetListPart = new Token<FleetList>('fleet-list');
export const fleetWatcherPart = new Token<FleetWatcher>('fleet-watcher');

export const targetFactoryPart = new Token<TargetFactory>('target-factory');

export const registryPart = new Token<InstanceRegistry>('registry');
export const meshPart = new Token<PeerMesh>('mesh');
export const peerServerPart = new Token<PeerServer>('peer-server');
export const directoryPart = new Token<FleetDirectory>('directory');

export const configurationPart = new Token<ConfigurationHolder>(
  'configuration',
);
export const configurationStorePart = new Token<ConfigurationStore>(
  'configuration-store',
);
export const pollerPart = new Token<ConfigurationPoller>('poller');
export const editorPart = new Token<ConfigurationEditor>('editor');
export const customersPart = new Token<Customers>('customers');
export const listenersPart = new Token<Listeners>('listeners');
export const readinessPart = new Token<Readiness>('readiness');

export const admissionPart = new Token<FairAdmission>('admission');
export const quarantinePart = new Token<TableQuarantine>('quarantine');
export const generationsPart = new Token<StreamDispatcher>('generations');
export const operationsPart = new Token<ServiceDispatcher>('operations');
export const generationServicePart = new Token<Generations>(
  'generation-service',
);

export const plannerPart = new Token<Planner>('planner');
export const closedTargetsPart = new Token<ClosedTargets>('closed-targets');

export const loadBookPart = new Token<LoadEstimator>('load-book');
export const loadPollerPart = new Token<LoadPoller>('load-poller');
export const prefixesPart = new Token<PrefixIndex>('prefixes');
export const routerPart = new Token<Router>('router');

export const requestLogPart = new Token<RequestLog>('request-log');
export const rolesPart = new Token<RoleController>('roles');
export const demandPart = new Token<Demand>('demand');
export const requestMetricsPart = new Token<RequestMetrics>('request-metrics');
export const ledgerPart = new Token<Ledger>('ledger');
export const serviceTargetsPart = new Token<ServiceTargets>('service-targets');
export const leasesPart = new Token<LeaseKeeper>('leases');
export const ordersPart = new Token<OrderBook>('orders');
export const planLeasePart = new Token<PlanLease>('plan-lease');
export const planRunnerPart = new Token<PlanRunner>('plan-runner');
export const planStorePart = new Token<PlanStore>('plan-store');
export const dispatchNewsPart = new Token<DispatchNotifier>('dispatch-news');
