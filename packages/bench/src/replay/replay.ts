/**
 * Replays a trace against simulated engines. The replay fakes `Date`,
 * `setTimeout` and `clearTimeout` of the thread and advances them itself.
 */
import { setMaxListeners } from 'node:events';

import { RoleController, SilentLog } from '@medlarlever/core';
import type { EngineSpeed } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';

import { defaultEngineCostModel } from './engine-cost-model.js';
import type { EngineCostModel } from './engine-cost-model.js';
import { EntryInstance } from './entry-instance.js';
import type { RequestOutcome } from './request-outcome.js';
import type { PolicySetup } from './policies.js';
import { ReplayDirectory, ReplayFleet, createEngines } from './replay-fleet.js';
import { RequestHold } from './request-hold.js';
import { ReplayPeerGroup } from './replay-peers.js';
import { ReplayRoleChanger, ReplayFleetViewSource } from './replay-roles.js';
import type { RoleChangeRecord } from './replay-roles.js';
import { createSeededRandom } from '../shared/seeded-random.js';
import type { Trace } from './trace.js';

/** Policy and settings of a replay. */
export interface ReplayOptions {
  readonly policySetup: PolicySetup;
  readonly engineSpeed: EngineSpeed;
  /** Seed of the random choices of the replay; by default that of the trace. */
  readonly seed?: number;
  readonly costModel?: EngineCostModel;
  /** Hold requests while an engine of their data centre changes role; default: false. */
  readonly holdsRequests?: boolean;
  /** Milliseconds of a change back to the previous role; default: as other changes. */
  readonly stagedChangeMs?: number;
}

/** Outcomes and role changes of one replay. */
export interface ReplayResult {
  readonly trace: Trace;
  readonly policy: string;
  readonly outcomes: readonly RequestOutcome[];
  readonly roleChanges: readonly RoleChangeRecord[];
}

const instancesPerDataCenter = 2;
/**
 * Milliseconds from the loss of an engine to its removal from the directory.
 */
const lostEngineRemovalDelayMs = 5_000;

/** Waits until all pending promise callbacks have run. */
const flushPromises = () =>
  new Promise<void>(resolve => {
    setImmediate(resolve);
  });

/** Waits until a time in milliseconds since the start of the replay. */
const sleepUntil = (atMs: number) =>
  new Promise<void>(resolve => {
    setTimeout(resolve, Math.max(0, atMs - Date.now()));
  });

/** Replays the trace. The same trace and options give the same result. */
export const replayTrace = async (
  trace: Trace,
  options: ReplayOptions,
): Promise<ReplayResult> => {
  const clock = FakeTimers.install({
    now: 0,
    toFake: ['setTimeout', 'clearTimeout', 'Date'],
    loopLimit: Infinity,
  });
  try {
    let result: ReplayResult | undefined;
    const replay = runReplay(trace, options).then(replayResult => {
      result = replayResult;
    });
    const isFinished = () => result !== undefined;
    while (!isFinished()) {
      await flushPromises();
      clock.next();
    }
    await replay;
    if (result === undefined)
      throw new Error('the replay ended without a result');
    return result;
  } finally {
    clock.uninstall();
  }
};

/** Runs the replay on the faked clock, which starts at 0. */
const runReplay = async (
  trace: Trace,
  options: ReplayOptions,
): Promise<ReplayResult> => {
  const random = createSeededRandom(options.seed ?? trace.fleet.seed);
  const costModel = options.costModel ?? defaultEngineCostModel;
  const { policySetup: policySetup } = options;
  const fleet = new ReplayFleet(
    createEngines(trace.fleet, policySetup.initialRoles, costModel, random),
  );
  const requestHold = new RequestHold(options.holdsRequests ?? false);
  const instances = createInstances(trace, options, fleet, requestHold, random);
  const [firstInstance] = instances;
  if (firstInstance === undefined)
    throw new Error('the trace has no data centre: add one to its fleet line');
  const roleChanger = new ReplayRoleChanger({
    fleet,
    requestHold,
    roleChangeMs: costModel.roleChangeMs,
    stagedChangeMs: options.stagedChangeMs,
  });
  const roleController = new RoleController({
    policy: policySetup.policy,
    viewSource: new ReplayFleetViewSource(
      fleet,
      instances,
      firstInstance.loadEstimator,
    ),
    roleChanger,
    log: new SilentLog(),
    random,
  });
  const stopController = new AbortController();
  setMaxListeners(0, stopController.signal);
  const tasks = [
    ...fleet.engines.map(engine =>
      engine.recordLoadPeriodically(stopController.signal),
    ),
    ...instances.map(instance => instance.run(stopController.signal)),
    roleController.run(stopController.signal),
  ];
  void scheduleEngineLosses(trace, fleet);
  const outcomes = await sendRequests(trace, instances, random);
  stopController.abort();
  await Promise.all(tasks);
  return {
    trace,
    policy: policySetup.policy.name,
    outcomes,
    roleChanges: roleChanger.changeRecords,
  };
};

/** Creates the entry instances of every data centre of the trace. */
const createInstances = (
  trace: Trace,
  { engineSpeed, costModel = defaultEngineCostModel }: ReplayOptions,
  fleet: ReplayFleet,
  requestHold: RequestHold,
  random: () => number,
): readonly EntryInstance[] => {
  const instances: EntryInstance[] = [];
  for (const { name: dataCenter } of trace.fleet.dataCenters) {
    for (
      let instanceNumber = 1;
      instanceNumber <= instancesPerDataCenter;
      instanceNumber += 1
    ) {
      const name = `${dataCenter}-entry-${instanceNumber}`;
      const instance = new EntryInstance({
        name,
        dataCenter,
        directory: new ReplayDirectory(fleet, dataCenter),
        getPeers: () => new ReplayPeerGroup(instances, name, dataCenter),
        engineSpeed,
        costModel,
        random,
        requestHold,
      });
      instances.push(instance);
    }
  }
  return instances;
};

/** Fails engines at the times of the trace and removes them with a delay. */
const scheduleEngineLosses = async (trace: Trace, fleet: ReplayFleet) => {
  for (const loss of trace.losses) {
    await sleepUntil(loss.atMs);
    fleet.findEngine(loss.engine)?.failPermanently();
    setTimeout(() => {
      fleet.removeEngine(loss.engine);
    }, lostEngineRemovalDelayMs);
  }
};

/** Sends each request at its arrival time to a random instance of its data centre. */
const sendRequests = async (
  trace: Trace,
  instances: readonly EntryInstance[],
  random: () => number,
): Promise<readonly RequestOutcome[]> => {
  const pendingOutcomes: Promise<RequestOutcome>[] = [];
  for (const request of trace.requests) {
    await sleepUntil(request.atMs);
    const localInstances = instances.filter(
      instance => instance.dataCenter === request.dataCenter,
    );
    const instance =
      localInstances[Math.floor(random() * localInstances.length)];
    if (instance === undefined)
      throw new Error(
        `the trace has a request for data centre ${request.dataCenter}, which is not in its fleet line`,
      );
    pendingOutcomes.push(instance.handleRequest(request));
  }
  return Promise.all(pendingOutcomes);
};
