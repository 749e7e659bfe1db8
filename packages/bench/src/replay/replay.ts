/** Replays a trace on the runtime's clock, faked and advanced here. */
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

export interface ReplayOptions {
  readonly policySetup: PolicySetup;
  readonly engineSpeed: EngineSpeed;
  readonly seed?: number;
  readonly costModel?: EngineCostModel;
  /** Hold requests while an engine of their data centre changes role. */
  readonly holdsRequests?: boolean;
  /** Time of a change back to the role held before. */
  readonly stagedChangeMs?: number;
}

export interface ReplayResult {
  readonly trace: Trace;
  readonly policy: string;
  readonly outcomes: readonly RequestOutcome[];
  readonly roleChanges: readonly RoleChangeRecord[];
}

const instancesPerDataCenter = 2;
/** Time after which the fleet list drops a lost engine. */
const lostEngineRemovalDelayMs = 5_000;

/** Lets everything run that waits on promises alone. */
const flushPromises = () =>
  new Promise<void>(resolve => {
    setImmediate(resolve);
  });

const sleepUntil = (atMs: number) =>
  new Promise<void>(resolve => {
    setTimeout(resolve, Math.max(0, atMs - Date.now()));
  });

/** Replays the trace; the same options give the same run. */
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
    let ended: ReplayResult | undefined;
    const running = runReplay(trace, options).then(run => {
      ended = run;
    });
    const finished = () => ended !== undefined;
    while (!finished()) {
      await flushPromises();
      clock.next();
    }
    await running;
    if (ended === undefined) throw new Error('the replay did not end');
    return ended;
  } finally {
    clock.uninstall();
  }
};

const runReplay = async (
  trace: Trace,
  options: ReplayOptions,
): Promise<ReplayResult> => {
  const random = createSeededRandom(options.seed ?? trace.fleet.seed);
  const model = options.costModel ?? defaultEngineCostModel;
  const { policySetup: contender } = options;
  const fleet = new ReplayFleet(
    createEngines(trace.fleet, contender.initialRoles, model, random),
  );
  const hold = new RequestHold(options.holdsRequests ?? false);
  const instances = createInstances(trace, options, fleet, hold, random);
  const [first] = instances;
  if (first === undefined) throw new Error('the trace has no data centre');
  const changer = new ReplayRoleChanger({
    fleet,
    requestHold: hold,
    roleChangeMs: model.roleChangeMs,
    stagedChangeMs: options.stagedChangeMs,
  });
  const controller = new RoleController({
    policy: contender.policy,
    viewSource: new ReplayFleetViewSource(
      fleet,
      instances,
      first.loadEstimator,
    ),
    roleChanger: changer,
    log: new SilentLog(),
    random,
  });
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const tasks = [
    ...fleet.engines.map(engine => engine.recordLoadPeriodically(stop.signal)),
    ...instances.map(instance => instance.run(stop.signal)),
    controller.run(stop.signal),
  ];
  void scheduleEngineLosses(trace, fleet);
  const outcomes = await sendRequests(trace, instances, random);
  stop.abort();
  await Promise.all(tasks);
  return {
    trace,
    policy: contender.policy.name,
    outcomes,
    roleChanges: changer.changeRecords,
  };
};

const createInstances = (
  trace: Trace,
  {
    engineSpeed: speed,
    costModel: model = defaultEngineCostModel,
  }: ReplayOptions,
  fleet: ReplayFleet,
  hold: RequestHold,
  random: () => number,
): readonly EntryInstance[] => {
  const instances: EntryInstance[] = [];
  for (const { name: dataCenter } of trace.fleet.dataCenters) {
    for (let number = 1; number <= instancesPerDataCenter; number += 1) {
      const name = `${dataCenter}-entry-${number}`;
      const instance = new EntryInstance({
        name,
        dataCenter,
        directory: new ReplayDirectory(fleet, dataCenter),
        getPeers: () => new ReplayPeerGroup(instances, name, dataCenter),
        engineSpeed: speed,
        costModel: model,
        random,
        requestHold: hold,
      });
      instances.push(instance);
    }
  }
  return instances;
};

const scheduleEngineLosses = async (trace: Trace, fleet: ReplayFleet) => {
  for (const loss of trace.losses) {
    await sleepUntil(loss.atMs);
    fleet.findEngine(loss.engine)?.failPermanently();
    setTimeout(() => {
      fleet.removeEngine(loss.engine);
    }, lostEngineRemovalDelayMs);
  }
};

/** Sends every request at its time to an instance of its data centre. */
const sendRequests = async (
  trace: Trace,
  instances: readonly EntryInstance[],
  random: () => number,
): Promise<readonly RequestOutcome[]> => {
  const running: Promise<RequestOutcome>[] = [];
  for (const request of trace.requests) {
    await sleepUntil(request.atMs);
    const near = instances.filter(
      instance => instance.dataCenter === request.dataCenter,
    );
    const instance = near[Math.floor(random() * near.length)];
    if (instance === undefined) throw new Error('no instance is near');
    running.push(instance.handleRequest(request));
  }
  return Promise.all(running);
};
