/** Replays a trace on the runtime's clock, faked and advanced here. */
import { setMaxListeners } from 'node:events';

import { RoleController, SilentLog } from '@medlarlever/core';
import type { EngineSpeed } from '@medlarlever/core';
import FakeTimers from '@sinonjs/fake-timers';

import { defaultEngineModel } from './engine-cost-model.js';
import type { EngineModel } from './engine-cost-model.js';
import { EntryInstance } from './entry-instance.js';
import type { Outcome } from './request-outcome.js';
import type { Contender } from './policies.js';
import { ReplayDirectory, ReplayFleet, createEngines } from './replay-fleet.js';
import { ReplayHold } from './request-hold.js';
import { ReplayPeerGroup } from './replay-peers.js';
import { ReplayChanger, ReplayViewSource } from './replay-roles.js';
import type { ChangeRecord } from './replay-roles.js';
import { seededRandom } from '../shared/seeded-random.js';
import type { Trace } from './trace.js';

export interface ReplayOptions {
  readonly contender: Contender;
  readonly speed: EngineSpeed;
  readonly seed?: number;
  readonly model?: EngineModel;
  /** Hold requests while an engine of their data centre changes role. */
  readonly holdDuringChange?: boolean;
  /** Time of a change back to the role held before. */
  readonly stagedChangeMs?: number;
}

export interface ReplayRun {
  readonly trace: Trace;
  readonly policy: string;
  readonly outcomes: readonly Outcome[];
  readonly changes: readonly ChangeRecord[];
}

const instancesPerDataCenter = 2;
/** Time after which the fleet list drops a lost engine. */
const fleetLagMs = 5_000;

/** Lets everything run that waits on promises alone. */
const settle = () =>
  new Promise<void>(resolve => {
    setImmediate(resolve);
  });

const sleepUntil = (atMs: number) =>
  new Promise<void>(resolve => {
    setTimeout(resolve, Math.max(0, atMs - Date.now()));
  });

/** Replays the trace; the same options give the same run. */
export const replay = async (
  trace: Trace,
  options: ReplayOptions,
): Promise<ReplayRun> => {
  const clock = FakeTimers.install({
    now: 0,
    toFake: ['setTimeout', 'clearTimeout', 'Date'],
    loopLimit: Infinity,
  });
  try {
    let ended: ReplayRun | undefined;
    const running = runTrace(trace, options).then(run => {
      ended = run;
    });
    const finished = () => ended !== undefined;
    while (!finished()) {
      await settle();
      clock.next();
    }
    await running;
    if (ended === undefined) throw new Error('the replay did not end');
    return ended;
  } finally {
    clock.uninstall();
  }
};

const runTrace = async (
  trace: Trace,
  options: ReplayOptions,
): Promise<ReplayRun> => {
  const random = seededRandom(options.seed ?? trace.fleet.seed);
  const model = options.model ?? defaultEngineModel;
  const { contender } = options;
  const fleet = new ReplayFleet(
    createEngines(trace.fleet, contender.start, model, random),
  );
  const hold = new ReplayHold(options.holdDuringChange ?? false);
  const instances = createInstances(trace, options, fleet, hold, random);
  const [first] = instances;
  if (first === undefined) throw new Error('the trace has no data centre');
  const changer = new ReplayChanger({
    fleet,
    hold,
    roleChangeMs: model.roleChangeMs,
    stagedChangeMs: options.stagedChangeMs,
  });
  const controller = new RoleController({
    policy: contender.policy,
    viewSource: new ReplayViewSource(fleet, instances, first.book),
    roleChanger: changer,
    log: new SilentLog(),
    random,
  });
  const stop = new AbortController();
  setMaxListeners(0, stop.signal);
  const tasks = [
    ...fleet.engines.map(engine => engine.run(stop.signal)),
    ...instances.map(instance => instance.run(stop.signal)),
    controller.run(stop.signal),
  ];
  void loseEngines(trace, fleet);
  const outcomes = await feed(trace, instances, random);
  stop.abort();
  await Promise.all(tasks);
  return {
    trace,
    policy: contender.policy.name,
    outcomes,
    changes: changer.records,
  };
};

const createInstances = (
  trace: Trace,
  { speed, model = defaultEngineModel }: ReplayOptions,
  fleet: ReplayFleet,
  hold: ReplayHold,
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
        peers: () => new ReplayPeerGroup(instances, name, dataCenter),
        speed,
        model,
        random,
        hold,
      });
      instances.push(instance);
    }
  }
  return instances;
};

const loseEngines = async (trace: Trace, fleet: ReplayFleet) => {
  for (const loss of trace.losses) {
    await sleepUntil(loss.atMs);
    fleet.find(loss.engine)?.lose();
    setTimeout(() => {
      fleet.remove(loss.engine);
    }, fleetLagMs);
  }
};

/** Sends every request at its time to an instance of its data centre. */
const feed = async (
  trace: Trace,
  instances: readonly EntryInstance[],
  random: () => number,
): Promise<readonly Outcome[]> => {
  const running: Promise<Outcome>[] = [];
  for (const request of trace.requests) {
    await sleepUntil(request.atMs);
    const near = instances.filter(
      instance => instance.dataCenter === request.dataCenter,
    );
    const instance = near[Math.floor(random() * near.length)];
    if (instance === undefined) throw new Error('no instance is near');
    running.push(instance.handle(request));
  }
  return Promise.all(running);
};
