import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';
import { TargetRegistry } from '../targets/target-registry.js';

import { LimitReports, mergeLimits } from './limit-reports.js';

const createInstance = (startedAtMs = 5) => {
  const log = createMemoryLog();
  const targets = new TargetRegistry({ log, getKvCacheTokens: () => 1_000 });
  targets.registerTarget(createTargetRecord('t1', { startedAtMs }));
  const getStatement = () => {
    const state = targets.findTarget('t1');
    if (state === undefined) throw new Error('no target');
    return state.limiter.statement;
  };
  return { reports: new LimitReports({ targets, log }), getStatement };
};

test.serial('the others learn of a limit, its change and its end', t => {
  const clock = installPausedClock(t);
  const [one, two] = [createInstance(), createInstance()];
  t.false(one.reports.hasNews);
  one.getStatement().recordLimit(2.5, 0);
  t.true(one.reports.hasNews);
  two.reports.apply(one.reports.list());
  t.false(one.reports.hasNews);
  t.is(two.getStatement().requestsPerSecond, 2.5);
  t.deepEqual(two.reports.list(), []);
  clock.tick(2_000);
  one.getStatement().recordNoLimit(1_900);
  t.true(one.reports.hasNews);
  two.reports.apply(one.reports.list());
  t.is(two.getStatement().requestsPerSecond, undefined);
});

test.serial('an own answer counts more than an older one of a peer', t => {
  const clock = installPausedClock(t);
  const [one, two] = [createInstance(), createInstance()];
  two.getStatement().recordLimit(9, 0);
  clock.tick(1_000);
  one.getStatement().recordLimit(2, 1_000);
  clock.tick(500);
  one.reports.apply(two.reports.list());
  t.is(one.getStatement().requestsPerSecond, 2);
});

test.serial('the limit of an earlier incarnation is not taken over', t => {
  installPausedClock(t);
  const [one, two] = [createInstance(5), createInstance(6)];
  one.getStatement().recordLimit(2, 0);
  two.reports.apply(one.reports.list());
  t.is(two.getStatement().requestsPerSecond, undefined);
});

test.serial('an aggregator passes on the newest observation, aged', t => {
  const clock = installPausedClock(t);
  clock.tick(1_000);
  const merged = mergeLimits([
    { receivedAtMs: 500, limits: [['t1', 5, 2, 100]] },
    { receivedAtMs: 900, limits: [['t1', 5, 4, 50]] },
    { receivedAtMs: 900, limits: [['t2', 5, 4, 2_950]] },
  ]);
  t.deepEqual(merged, [['t1', 5, 4, 150]]);
});
