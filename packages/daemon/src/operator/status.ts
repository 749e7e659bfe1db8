/** The state of the deployment as this instance sees it. */
import type {
  FairAdmission,
  FleetTargetDirectory,
  FleetWatcher,
  InstanceRegistry,
  LoadEstimator,
  RoleController,
} from '@medlarlever/core';

import type { Readiness } from '../health/readiness.js';

const maxRoleRecords = 5;

/** What the status is put together from. */
export interface StatusSources {
  readonly registry: InstanceRegistry;
  readonly fleet: FleetWatcher;
  readonly directory: FleetTargetDirectory;
  readonly loads: LoadEstimator;
  readonly readiness: Readiness;
  readonly roles: RoleController;
  readonly admission: FairAdmission;
}

const listKnownInstances = (registry: InstanceRegistry) =>
  registry
    .listInstances()
    .map(({ name, dataCenter, incarnation, state, revision, lastSeenMs }) => ({
      name,
      dataCenter,
      incarnation,
      state,
      revision,
      lastSeenMs,
    }));

/** Instances that the platform lists and of which nothing was heard yet. */
const listUnheardInstances = ({ registry, fleet }: StatusSources) =>
  fleet.members
    .filter(({ kind, state }) => kind === 'entry' && state === 'live')
    .filter(({ name }) => registry.findInstance(name) === undefined)
    .map(({ name, dataCenter, incarnation }) => ({
      name,
      dataCenter,
      incarnation,
      state: 'suspected' as const,
      revision: 0,
      lastSeenMs: 0,
    }));

const listEngines = ({ directory, loads }: StatusSources) =>
  directory.listEngines().map(({ target, isLeaving: leaving }) => {
    const report = loads.findRecentReport(target.name);
    const unavailable = report?.accepting === false ? 'busy' : 'open';
    return {
      name: target.name,
      kind: 'engine' as const,
      dataCenter: target.dataCenter,
      state: leaving ? 'closed' : unavailable,
      role: report?.role,
      models: report?.models ?? [],
      running: report?.running ?? 0,
      queued: report?.queued ?? 0,
      ageMs: report === undefined ? undefined : Date.now() - report.atMs,
      leaving,
    };
  });

const listServices = ({ directory }: StatusSources) =>
  directory.listAllServices().map(({ target, isLeaving: leaving }) => ({
    name: target.name,
    kind: 'service' as const,
    dataCenter: target.dataCenter,
    service: target.service,
    state: leaving ? 'closed' : 'open',
    leaving,
  }));

/** The status as operators get it. */
export const buildStatus = (sources: StatusSources) => {
  const { registry, readiness, roles, admission } = sources;
  return {
    instance: registry.self.name,
    dataCenter: registry.self.dataCenter,
    revision: registry.self.revision,
    ready: readiness.isReady,
    running: readiness.runningCount,
    instances: [
      ...listKnownInstances(registry),
      ...listUnheardInstances(sources),
    ],
    queues: admission.listQueues(),
    targets: [...listEngines(sources), ...listServices(sources)],
    roles: roles.records
      .slice(-maxRoleRecords)
      .map(({ atMs, decision, failures }) => ({
        atMs,
        dataCenter: registry.self.dataCenter,
        explanation: decision.explanation,
        changes: decision.changes,
        failures,
      })),
  };
};
