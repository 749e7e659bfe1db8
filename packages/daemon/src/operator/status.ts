/** Builds the status of the deployment from what this instance has observed. */
import type {
  FairAdmission,
  FleetTargetDirectory,
  FleetWatcher,
  InstanceRegistry,
  LoadEstimator,
  RoleController,
} from '@medlarlever/core';

import type { Readiness } from '../health/readiness.js';

/** Number of latest role decisions in the status. */
const maxRoleRecords = 5;

/** Components from which the status is built. */
export interface StatusSources {
  readonly registry: InstanceRegistry;
  readonly fleet: FleetWatcher;
  readonly directory: FleetTargetDirectory;
  readonly loadEstimator: LoadEstimator;
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

/**
 * Lists live instances of the platform's fleet list that the instance registry
 * does not know yet.
 */
const listUnseenInstances = ({ registry, fleet }: StatusSources) =>
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

const listEngines = ({ directory, loadEstimator }: StatusSources) =>
  directory.listEngines().map(({ target, isLeaving }) => {
    const report = loadEstimator.findRecentReport(target.name);
    const reportedState = report?.accepting === false ? 'busy' : 'open';
    return {
      name: target.name,
      kind: 'engine' as const,
      dataCenter: target.dataCenter,
      state: isLeaving ? 'closed' : reportedState,
      role: report?.role,
      models: report?.models ?? [],
      running: report?.running ?? 0,
      queued: report?.queued ?? 0,
      ageMs: report === undefined ? undefined : Date.now() - report.atMs,
      leaving: isLeaving,
    };
  });

const listServices = ({ directory }: StatusSources) =>
  directory.listAllServices().map(({ target, isLeaving }) => ({
    name: target.name,
    kind: 'service' as const,
    dataCenter: target.dataCenter,
    service: target.service,
    state: isLeaving ? 'closed' : 'open',
    leaving: isLeaving,
  }));

/**
 * Builds the body of `GET operator/status`. Times are in milliseconds since the
 * Unix epoch; `ageMs` is the age of an engine's latest load report.
 */
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
      ...listUnseenInstances(sources),
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
