import FakeTimers from '@sinonjs/fake-timers';
import { Kernel } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { FakeTopology, FakeDeployment } from '../fixtures/fake-topology.js';
import { aLog, aTarget } from '../fixtures/relay-fixtures.js';
import { ServiceStates } from '../relay/service-state.js';
import { CrashCounts } from '../retries/crash-tracker.js';
import { ReadingDemand } from '../roles/prefill-demand.js';
import { TargetBook } from '../targets/target-registry.js';

import { LoadNews } from './load-exchange.js';
import { newsMethod } from './load-report.js';

const anInstance = (
  name: string,
  signal: AbortSignal,
  deployment = new FakeDeployment(),
) => {
  const topology = new FakeTopology(deployment, name);
  const targets = new TargetBook({ log: aLog(), kvTokens: () => 1_000 });
  targets.register(aTarget('t1'));
  const crashes = new CrashCounts();
  const demand = new ReadingDemand();
  const newer: number[] = [];
  const held = { revision: 1 };
  const news = new LoadNews({
    self: name,
    topology,
    targets,
    crashes,
    services: new ServiceStates({
      windowMs: 10_000,
      allowed: () => ({ ratio: 0.2, allowance: 10, instances: 1 }),
    }),
    demand,
    revision: () => held.revision,
    onNewer: (_from, revision) => newer.push(revision),
  });
  const kernel = new Kernel();
  news.register(kernel);
  deployment.kernels.set(name, kernel);
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
  const join = (name: string) => anInstance(name, stop.signal, deployment);
  return { clock, deployment, join, one: join('one'), two: join('two') };
};

test.serial(
  'an instance sees the load of the other and lets it lapse',
  async t => {
    const { clock, deployment, one, two } = setUp(t);
    const mine = one.targets.find('t1');
    const theirs = two.targets.find('t1');
    mine?.enter();
    mine?.startReading([], 500);
    await clock.tickAsync(400);
    t.is(theirs?.running, 1);
    t.is(theirs?.unreadTokens, 500);
    await clock.tickAsync(5_000);
    t.is(theirs?.running, 1);
    deployment.cutOff.add('one');
    await clock.tickAsync(3_000);
    t.is(theirs?.running, 0);
  },
);

test.serial('parts, crashes and newer versions are told', async t => {
  const { clock, one, two } = setUp(t);
  one.held.revision = 2;
  const part = { id: 'p', tokens: 100 };
  one.news.reading('t1', [part], 5_000);
  one.crashes.suspect('f', 't1');
  one.crashes.crashed('t1');
  await clock.tickAsync(400);
  const cache = two.targets.find('t1')?.cache;
  t.is(cache?.cachedTokens([part]), 100);
  t.is(cache?.copyableTokens([part]), 0);
  await clock.tickAsync(5_000);
  t.is(cache?.copyableTokens([part]), 100);
  t.true(two.newer.includes(2));
  for (const target of ['t2', 't3']) two.crashes.learn('f', target);
  t.true(two.crashes.poisoned('f'));
});

test.serial(
  'in a large deployment a hub sums what its members tell',
  async t => {
    const { clock, join, one, two } = setUp(t);
    const three = join('three');
    for (const { topology } of [one, two, three]) topology.gatherAt('one');
    const target = ({ targets }: typeof one) => targets.find('t1');
    target(one)?.enter();
    target(two)?.startReading([], 500);
    target(two)?.enter();
    const part = { id: 'p', tokens: 100 };
    three.news.reading('t1', [part], 0);
    await clock.tickAsync(1_500);
    t.is(target(one)?.running, 2);
    t.is(target(two)?.running, 2, 'its own work is not counted twice');
    t.is(target(three)?.running, 2);
    t.is(target(three)?.unreadTokens, 500);
    t.is(target(two)?.cache.cachedTokens([part]), 100);
  },
);

test.serial('what one instance finds slow is slow for all of them', async t => {
  const { clock, one, two } = setUp(t);
  const mine = one.targets.all()[0];
  t.truthy(mine);
  if (mine === undefined) return;
  mine.enter();
  for (let i = 0; i < 5; i += 1) mine.took(400, 100);
  await clock.tickAsync(800);
  t.true((two.targets.find('t1')?.slowness ?? 0) > 3);
  await clock.tickAsync(800);
  const slowness = two.targets.find('t1')?.slowness ?? 0;
  t.true(slowness < 4, 'samples are told once');
  t.true(Math.abs(slowness - mine.slowness) < 0.1);
});

test.serial(
  'a hub that has not heard of most instances gathers all the same',
  async t => {
    const { clock, join, one, two } = setUp(t);
    const three = join('three');
    for (const { topology } of [two, three]) topology.gatherAt('one');
    three.targets.find('t1')?.enter();
    await clock.tickAsync(1_500);
    t.deepEqual([...one.news.members()].sort(), ['three', 'two']);
    t.is(two.targets.find('t1')?.running, 1);
  },
);

test.serial('hubs tell each other, and their members hear of it', async t => {
  const { clock, join, one, two } = setUp(t);
  const far = join('far');
  const farMember = join('far member');
  one.topology.gatherAt('one');
  two.topology.gatherAt('one');
  one.topology.hubs = ['far'];
  far.topology.gatherAt('far');
  farMember.topology.gatherAt('far');
  far.topology.hubs = ['one'];
  two.targets.find('t1')?.enter();
  await clock.tickAsync(1_500);
  t.is(farMember.targets.find('t1')?.running, 1);
  farMember.targets.find('t1')?.enter();
  await clock.tickAsync(1_500);
  t.is(two.targets.find('t1')?.running, 2);
});

test.serial(
  'what a member tells in a second does not grow with their number',
  async t => {
    const { clock, deployment, join, one, two } = setUp(t);
    const members = Array.from({ length: 40 }, (_, i) => join(`m${i}`));
    for (const { topology } of [one, two, ...members]) topology.gatherAt('one');
    for (const { targets } of members) targets.find('t1')?.enter();
    await clock.tickAsync(1_000);
    deployment.told.clear();
    await clock.tickAsync(1_000);
    t.true(
      (deployment.told.get('m7') ?? 0) <= 7,
      `${deployment.told.get('m7') ?? 0}`,
    );
    t.is(members[3]?.targets.find('t1')?.running, 40);
  },
);

test('news that cannot be read is refused, not taken', async t => {
  const stop = new AbortController();
  stop.abort();
  const { kernel } = anInstance('one', stop.signal);
  await t.throwsAsync(async () => {
    await kernel.methods.get(newsMethod)?.({ from: 1 }, 'peer');
  });
});
