import test from 'ava';
import type { ExecutionContext } from 'ava';
import { Kernel } from '@medlarlever/core';

import { FakeDeployment, FakeTopology } from '../fixtures/fake-topology.js';
import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';

import { TargetAnnouncements } from './target-announcements.js';
import { TargetRegistry } from './target-registry.js';

const instanceNames = ['one', 'two'] as const;

/** Two linked instances that know the target `t1`. */
const setUp = (t: ExecutionContext) => {
  const clock = installPausedClock(t);
  const deployment = new FakeDeployment();
  const createInstance = (name: string) => {
    const log = createMemoryLog();
    const targets = new TargetRegistry({
      log,
      getKvCacheTokens: () => 1_000,
    });
    const announcements = new TargetAnnouncements({
      targets,
      getTopology: () => new FakeTopology(deployment, name),
      log,
      random: () => 0.5,
    });
    const kernel = new Kernel();
    announcements.registerMethods(kernel);
    deployment.kernelsByInstance.set(name, kernel);
    targets.registerTarget(record);
    return { log, targets, announcements };
  };
  const record = createTargetRecord('t1', { startedAtMs: 5 });
  const [one, two] = instanceNames.map(createInstance);
  if (one === undefined || two === undefined) throw new Error('no instance');
  return { clock, deployment, record, one, two };
};

test.serial(
  'a target that announces that it leaves gets no new requests, whatever its registration says',
  t => {
    const { record, one } = setUp(t);
    one.announcements.recordLeaving(record);
    t.deepEqual(one.targets.listOpenTargets('api'), []);
    one.targets.registerTarget(record);
    t.deepEqual(one.targets.listOpenTargets('api'), []);
    one.targets.registerTarget({ ...record, startedAtMs: 6 });
    t.is(one.targets.listOpenTargets('api').length, 1);
  },
);

test.serial('the peers are told of a departure once', async t => {
  const { clock, deployment, record, one, two } = setUp(t);
  one.announcements.recordLeaving(record);
  one.announcements.recordLeaving(record);
  await clock.tickAsync(200);
  t.deepEqual(two.targets.listOpenTargets('api'), []);
  t.is(deployment.sentCounts.get('one'), 1);
  two.announcements.recordLeaving(record);
  await clock.tickAsync(200);
  t.is(deployment.sentCounts.get('two'), undefined);
});

test.serial(
  'no peer is told what the registration or another instance has said meanwhile',
  async t => {
    const { clock, deployment, record, one, two } = setUp(t);
    one.announcements.recordLeaving(record);
    two.announcements.recordLeaving(record);
    two.targets.registerTarget({ ...record, leaving: true });
    await clock.tickAsync(200);
    t.is(deployment.sentCounts.get('two'), undefined);
  },
);

test.serial(
  'an announcement of an earlier incarnation changes nothing',
  async t => {
    const { clock, record, one, two } = setUp(t);
    two.targets.registerTarget({ ...record, startedAtMs: 6 });
    one.announcements.recordLeaving(record);
    await clock.tickAsync(200);
    t.is(two.targets.listOpenTargets('api').length, 1);
    one.targets.registerTarget({ ...record, startedAtMs: 6 });
    one.announcements.recordQuietPeriod(record, 1_000);
    t.false(one.announcements.isQuiet(record));
  },
);

test.serial('a pause ends with its time or with the incarnation', async t => {
  const { clock, record, one, two } = setUp(t);
  one.announcements.recordQuietPeriod(record, 700);
  one.announcements.recordQuietPeriod(record, 300);
  t.true(one.announcements.isQuiet(record));
  t.false(two.announcements.isQuiet(record));
  await clock.tickAsync(699);
  t.true(one.announcements.isQuiet(record));
  await clock.tickAsync(1);
  t.false(one.announcements.isQuiet(record));
  one.announcements.recordQuietPeriod(record, 700);
  one.targets.registerTarget({ ...record, startedAtMs: 6 });
  t.false(one.announcements.isQuiet(record));
  t.is(one.announcements.quietPeriodCount, 2);
});

test.serial('an absurdly high limit still lets requests through', async t => {
  const { clock, record, one } = setUp(t);
  one.announcements.recordLimit(record, Infinity);
  await clock.tickAsync(100);
  const limiter = one.targets.findTarget('t1')?.limiter;
  t.is(limiter?.statement.requestsPerSecond, 100_000);
  for (let i = 0; i < 1_000; i += 1) t.true(limiter?.tryTakePermit());
  t.is(one.announcements.limitCount, 1);
});
