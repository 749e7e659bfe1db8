/** Tokens of the parts that features share. */
import { InjectionToken } from '@medlarlever/core';
import type {
  ClosedTargets,
  ConfigurationEditor,
  ConfigurationHolder,
  ConfigurationPoller,
  ConfigurationStore,
  DispatchNotifier,
  FairAdmission,
  FleetTargetDirectory,
  FleetList,
  FleetWatcher,
  InstanceRegistry,
  LeaseManager,
  LoadEstimator,
  LoadPoller,
  IdempotentExecutor,
  Log,
  ObjectStore,
  CommandCoordinator,
  PeerMesh,
  PeerServer,
  PlanLease,
  PlanRunner,
  PlanStore,
  PlanManager,
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

export const settingsPart = new InjectionToken<Settings>('settings');
export const logPart = new InjectionToken<Log>('log');
export const randomPart = new InjectionToken<() => number>('random');
export const incarnationPart = new InjectionToken<string>('incarnation');
export const metricsPart = new InjectionToken<Registry>('metrics');

export const tablePart = new InjectionToken<Table>('table');
export const objectStorePart = new InjectionToken<ObjectStore>('object-store');
export const fleetListPart = new InjectionToken<FleetList>('fleet-list');
export const fleetWatcherPart = new InjectionToken<FleetWatcher>(
  'fleet-watcher',
);

export const targetFactoryPart = new InjectionToken<TargetFactory>(
  'target-factory',
);

export const registryPart = new InjectionToken<InstanceRegistry>('registry');
export const meshPart = new InjectionToken<PeerMesh>('mesh');
export const peerServerPart = new InjectionToken<PeerServer>('peer-server');
export const directoryPart = new InjectionToken<FleetTargetDirectory>(
  'directory',
);

export const configurationPart = new InjectionToken<ConfigurationHolder>(
  'configuration',
);
export const configurationStorePart = new InjectionToken<ConfigurationStore>(
  'configuration-store',
);
export const pollerPart = new InjectionToken<ConfigurationPoller>('poller');
export const editorPart = new InjectionToken<ConfigurationEditor>('editor');
export const customersPart = new InjectionToken<Customers>('customers');
export const listenersPart = new InjectionToken<Listeners>('listeners');
export const readinessPart = new InjectionToken<Readiness>('readiness');

export const admissionPart = new InjectionToken<FairAdmission>('admission');
export const quarantinePart = new InjectionToken<TableQuarantine>('quarantine');
export const generationsPart = new InjectionToken<StreamDispatcher>(
  'generations',
);
export const operationsPart = new InjectionToken<ServiceDispatcher>(
  'operations',
);
export const generationServicePart = new InjectionToken<Generations>(
  'generation-service',
);

export const plannerPart = new InjectionToken<PlanManager>('planner');
export const closedTargetsPart = new InjectionToken<ClosedTargets>(
  'closed-targets',
);

export const loadBookPart = new InjectionToken<LoadEstimator>('load-book');
export const loadPollerPart = new InjectionToken<LoadPoller>('load-poller');
export const prefixesPart = new InjectionToken<PrefixIndex>('prefixes');
export const routerPart = new InjectionToken<Router>('router');

export const requestLogPart = new InjectionToken<RequestLog>('request-log');
export const rolesPart = new InjectionToken<RoleController>('roles');
export const demandPart = new InjectionToken<Demand>('demand');
export const requestMetricsPart = new InjectionToken<RequestMetrics>(
  'request-metrics',
);
export const ledgerPart = new InjectionToken<IdempotentExecutor>('ledger');
export const serviceTargetsPart = new InjectionToken<ServiceTargets>(
  'service-targets',
);
export const leasesPart = new InjectionToken<LeaseManager>('leases');
export const ordersPart = new InjectionToken<CommandCoordinator>('orders');
export const planLeasePart = new InjectionToken<PlanLease>('plan-lease');
export const planRunnerPart = new InjectionToken<PlanRunner>('plan-runner');
export const planStorePart = new InjectionToken<PlanStore>('plan-store');
export const dispatchNewsPart = new InjectionToken<DispatchNotifier>(
  'dispatch-news',
);
