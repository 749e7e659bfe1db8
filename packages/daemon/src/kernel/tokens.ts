/** Injection tokens of the components that several features use. */
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
  Leases,
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

import type { CustomerAuthenticator } from '../auth/customer-authenticator.js';
import type { GenerationService } from '../generations/generation-service.js';
import type { Readiness } from '../health/readiness.js';
import type { RequestLog } from '../requests/request-log.js';
import type { DemandTracker } from '../roles/demand-tracker.js';
import type { ListenerRegistry } from '../server/listener-registry.js';
import type { Settings } from '../settings/settings.js';

export const settingsToken = new InjectionToken<Settings>('settings');
export const logToken = new InjectionToken<Log>('log');
export const randomSourceToken = new InjectionToken<() => number>('random');
export const incarnationToken = new InjectionToken<string>('incarnation');
export const metricsRegistryToken = new InjectionToken<Registry>('metrics');

export const tableToken = new InjectionToken<Table>('table');
export const objectStoreToken = new InjectionToken<ObjectStore>('object-store');
export const fleetListToken = new InjectionToken<FleetList>('fleet-list');
export const fleetWatcherToken = new InjectionToken<FleetWatcher>(
  'fleet-watcher',
);

export const targetFactoryToken = new InjectionToken<TargetFactory>(
  'target-factory',
);

export const instanceRegistryToken = new InjectionToken<InstanceRegistry>(
  'registry',
);
export const peerMeshToken = new InjectionToken<PeerMesh>('mesh');
export const peerServerToken = new InjectionToken<PeerServer>('peer-server');
export const fleetDirectoryToken = new InjectionToken<FleetTargetDirectory>(
  'directory',
);

export const configurationHolderToken = new InjectionToken<ConfigurationHolder>(
  'configuration',
);
export const configurationStoreToken = new InjectionToken<ConfigurationStore>(
  'configuration-store',
);
export const configurationPollerToken = new InjectionToken<ConfigurationPoller>(
  'poller',
);
export const configurationEditorToken = new InjectionToken<ConfigurationEditor>(
  'editor',
);
export const customerAuthenticatorToken =
  new InjectionToken<CustomerAuthenticator>('customers');
export const listenerRegistryToken = new InjectionToken<ListenerRegistry>(
  'listeners',
);
export const readinessToken = new InjectionToken<Readiness>('readiness');

export const admissionToken = new InjectionToken<FairAdmission>('admission');
export const quarantineToken = new InjectionToken<TableQuarantine>(
  'quarantine',
);
export const streamDispatcherToken = new InjectionToken<StreamDispatcher>(
  'generations',
);
export const serviceDispatcherToken = new InjectionToken<ServiceDispatcher>(
  'operations',
);
export const generationServiceToken = new InjectionToken<GenerationService>(
  'generation-service',
);

export const planManagerToken = new InjectionToken<PlanManager>('planner');
export const closedTargetsToken = new InjectionToken<ClosedTargets>(
  'closed-targets',
);

export const loadEstimatorToken = new InjectionToken<LoadEstimator>(
  'load-book',
);
export const loadPollerToken = new InjectionToken<LoadPoller>('load-poller');
export const prefixIndexToken = new InjectionToken<PrefixIndex>('prefixes');
export const routerToken = new InjectionToken<Router>('router');

export const requestLogToken = new InjectionToken<RequestLog>('request-log');
export const roleControllerToken = new InjectionToken<RoleController>('roles');
export const demandTrackerToken = new InjectionToken<DemandTracker>('demand');
export const requestMetricsToken = new InjectionToken<RequestMetrics>(
  'request-metrics',
);
export const idempotentExecutorToken = new InjectionToken<IdempotentExecutor>(
  'ledger',
);
export const serviceTargetsToken = new InjectionToken<ServiceTargets>(
  'service-targets',
);
export const leaseManagerToken = new InjectionToken<Leases>('leases');
export const commandCoordinatorToken = new InjectionToken<CommandCoordinator>(
  'orders',
);
export const planLeaseToken = new InjectionToken<PlanLease>('plan-lease');
export const planRunnerToken = new InjectionToken<PlanRunner>('plan-runner');
export const planStoreToken = new InjectionToken<PlanStore>('plan-store');
export const dispatchNotifierToken = new InjectionToken<DispatchNotifier>(
  'dispatch-news',
);
