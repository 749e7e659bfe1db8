import FakeTimers from '@sinonjs/fake-timers';
import { Kernel } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { FakeTopology, FakeDeployment } from '../fixtures/fake-topology.js';
import {
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { ServiceStates } from '../relay/service-state.js';
import { CrashTracker } from '../retries/crash-tracker.js';
import { PrefillDemand } from '../roles/prefill-demand.js';
import { TargetRegistry } from '../targets/target-registry.js';

import { LoadExchange } from './load-exchange.js';
import { loadReportMethod } from './load-report.js';

const createInstance = (
  name: string,
  signal: AbortSignal,
  deployment = new FakeDeployment(),
) => {
  const topology = new FakeTopology(deployment, name);
  const targets = new TargetRegistry({
    log: createMemoryLog(),
    getKvCacheTokens: () => 1_000,
  });
  targets.registerTarget(createTargetRecord('t1'));
  const crashes = new CrashTracker();
  const demand = new PrefillDemand();
  const newer: number[] = [];
  const held = { revision: 1 };
  const news = new LoadExchange({
    self: name,
    topology,
    targets,
    crashes,
    services: new ServiceStates({
      windowMs: 10_000,
      getLimits: () => ({
        retriesPerRequest: 0.2,
        deploymentAllowance: 10,
        instanceCount: 1,
      }),
    }),
    demand,
    getRevision: () => held.revision,
    onNewerRevision: (_from, revision) => newer.push(revision),
  });
  const kernel = new Kernel();
  news.registerMethods(kernel);
  deployment.kernelsByInstance.set(name, kernel);
  void news.run(signal);
  return { topology, demand, targets, crashes, news, kernel, newer, held };
};

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
    clock.uninstall();
  });
  const deployment = new FakeDeployment();
  const join = (name: string) => createInstance(name, stop.signal, deployment);
  return { clock, deployment, join, one: join('one'), two: join('two') };
};

test.serial(
  'an instance sees the load of the other and lets it lapse',
  async t => {
    const { clock, deployment, one, two } = setUp(t);
    const mine = one.targets.findTarget('t1');
    const theirs = two.targets.findTarget('t1');
    mine?.startRequest();
    mine?.startPrefill([], 500);
    await clock.tickAsync(400);
    t.is(theirs?.activeRequestCount, 1);
    t.is(theirs?.pendingPrefillTokens, 500);
    await clock.tickAsync(5_000);
    t.is(theirs?.activeRequestCount, 1);
    deployment.isolatedInstances.add('one');
    await clock.tickAsync(3_000);
    t.is(theirs?.activeRequestCount, 0);
  },
);

test.serial('parts, crashes and newer versions are told', async t => {
  const { clock, one, two } = setUp(t);
  one.held.revision = 2;
  const part = { id: 'p', tokens: 100 };
  one.news.recordPrefillStart('t1', [part], 5_000);
  one.crashes.recordSuspectedCrash('f', 't1');
  one.crashes.confirmCrash('t1');
  await clock.tickAsync(400);
  const cache = two.targets.findTarget('t1')?.prefixCache;
  t.is(cache?.countCachedTokens([part]), 100);
  t.is(cache?.countCopyableTokens([part]), 0);
  await clock.tickAsync(5_000);
  t.is(cache?.countCopyableTokens([part]), 100);
  t.true(two.newer.includes(2));
  for (const target of ['t2', 't3']) two.crashes.recordCrash('f', target);
  t.true(two.crashes.isPoisonRequest('f'));
});

test.serial(
  'in a large deployment a hub sums what its members tell',
  async t => {
    const { clock, join, one, two } = setUp(t);
    const three = join('three');
    for (const { topology } of [one, two, three]) topology.setAggregator('one');
    const target = ({ targets }: typeof one) => targets.findTarget('t1');
    target(one)?.startRequest();
    target(two)?.startPrefill([], 500);
    target(two)?.startRequest();
    const part = { id: 'p', tokens: 100 };
    three.news.recordPrefillStart('t1', [part], 0);
    await clock.tickAsync(1_500);
    t.is(target(one)?.activeRequestCount, 2);
    t.is(
      target(two)?.activeRequestCount,
      2,
      'its own work is not counted twice',
    );
    t.is(target(three)?.activeRequestCount, 2);
    t.is(target(three)?.pendingPrefillTokens, 500);
    t.is(target(two)?.prefixCache.countCachedTokens([part]), 100);
  },
);

test.serial('what one instance finds slow is slow for all of them', async t => {
  const { clock, one, two } = setUp(t);
  const mine = one.targets.listTargets()[0];
  t.truthy(mine);
  if (mine === undefined) return;
  mine.startRequest();
  for (let i = 0; i < 5; i += 1) mine.recordDuration(400, 100);
  await clock.tickAsync(800);
  t.true((two.targets.findTarget('t1')?.slowness ?? 0) > 3);
  await clock.tickAsync(800);
  const slowness = two.targets.findTarget('t1')?.slowness ?? 0;
  t.true(slowness < 4, 'samples are told once');
  t.true(Math.abs(slowness - mine.slowness) < 0.1);
});

test.serial(
  'a hub that has not heard of most instances gathers all the same',
  async t => {
    const { clock, join, one, two } = setUp(t);
    const three = join('three');
    for (const { topology } of [two, three]) topology.setAggregator('one');
    three.targets.findTarget('t1')?.startRequest();
    await clock.tickAsync(1_500);
    t.deepEqual([...one.news.listMembers()].sort(), ['three', 'two']);
    t.is(two.targets.findTarget('t1')?.activeRequestCount, 1);
  },
);

test.serial('hubs tell each other, and their members hear of it', async t => {
  const { clock, join, one, two } = setUp(t);
  const far = join('far');
  const farMember = join('far member');
  one.topology.setAggregator('one');
  two.topology.setAggregator('one');
  one.topology.remoteAggregators = ['far'];
  far.topology.setAggregator('far');
  farMember.topology.setAggregator('far');
  far.topology.remoteAggregators = ['one'];
  two.targets.findTarget('t1')?.startRequest();
  await clock.tickAsync(1_500);
  t.is(farMember.targets.findTarget('t1')?.activeRequestCount, 1);
  farMember.targets.findTarget('t1')?.startRequest();
  await clock.tickAsync(1_500);
  t.is(two.targets.findTarget('t1')?.activeRequestCount, 2);
});

test.serial(
  'what a member tells in a second does not grow with their number',
  async t => {
    const { clock, deployment, join, one, two } = setUp(t);
    const members = Array.from({ length: 40 }, (_, i) => join(`m${i}`));
    for (const { topology } of [one, two, ...members])
      topology.setAggregator('one');
    for (const { targets } of members) targets.findTarget('t1')?.startRequest();
    await clock.tickAsync(1_000);
    deployment.sentCounts.clear();
    await clock.tickAsync(1_000);
    t.true(
      (deployment.sentCounts.get('m7') ?? 0) <= 7,
      `${deployment.sentCounts.get('m7') ?? 0}`,
    );
    t.is(members[3]?.targets.findTarget('t1')?.activeRequestCount, 40);
  },
);

test('news that cannot be read is refused, not taken', async t => {
  const stop = new AbortController();
  stop.abort();
  const { kernel } = createInstance('one', stop.signal);
  await t.throwsAsync(async () => {
    await kernel.peerMethods.get(loadReportMethod)?.({ from: 1 }, 'peer');
  });
});
