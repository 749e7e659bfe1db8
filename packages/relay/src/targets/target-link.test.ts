import test from 'ava';
import type { ExecutionContext } from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import {
  createMemoryLog,
  createTargetRecord,
} from '../fixtures/relay-fixtures.js';

import { TargetLink, selectProbedTargets } from './target-link.js';
import type { ProbeResult } from './target-probe.js';
import { TargetRegistry } from './target-registry.js';

const targetIds = ['t1', 't2', 't3', 't4'];

const createLink = (t: ExecutionContext) => {
  const clock = installPausedClock(t);
  const stop = new AbortController();
  t.teardown(() => {
    stop.abort();
  });
  const log = createMemoryLog();
  const targets = new TargetRegistry({ log, getKvCacheTokens: () => 1_000 });
  for (const id of targetIds)
    targets.registerTarget(createTargetRecord(id, { dataCenter: id }));
  const state: { probeResult: ProbeResult; probeCount: number } = {
    probeResult: 'answers',
    probeCount: 0,
  };
  const link = new TargetLink({
    targets,
    probe: () => {
      state.probeCount += 1;
      return Promise.resolve(state.probeResult);
    },
    onCut: () => undefined,
    log,
    random: () => 0.5,
  });
  void link.run(stop.signal);
  const fail = (...ids: string[]) => {
    for (const id of ids) link.recordFailure(createTargetRecord(id));
  };
  return { clock, link, targets, state, log, fail };
};

test.serial('one target that fails is not the link', async t => {
  const { clock, link, state, fail } = createLink(t);
  state.probeResult = 'no_connection';
  fail('t1', 't1', 't1');
  await clock.tickAsync(3_000);
  t.false(link.isCutOff);
  t.is(state.probeCount, 0);
});

test.serial('targets that crash together are not the link', async t => {
  const { clock, link, state, fail } = createLink(t);
  fail('t1', 't2', 't3');
  await clock.tickAsync(3_000);
  t.false(link.isCutOff);
  t.is(state.probeCount, 1);
});

test.serial(
  'the link is down when no probed target answers, and up again when one does',
  async t => {
    const { clock, link, state, targets, fail } = createLink(t);
    const [target] = targets.listTargets();
    for (let i = 0; i < 6; i += 1) target?.recordFailure(true);
    state.probeResult = 'no_connection';
    fail('t1', 't2');
    await clock.tickAsync(200);
    t.true(link.isCutOff);
    await clock.tickAsync(5_000);
    t.true(link.isCutOff);
    t.true(target?.isAvoided);
    state.probeResult = 'answers';
    await clock.tickAsync(600);
    t.false(link.isCutOff);
    t.false(target?.isAvoided);
  },
);

test.serial('silence is a doubt while requests are under way', async t => {
  const { clock, link, state, targets } = createLink(t);
  await clock.tickAsync(5_000);
  t.is(state.probeCount, 0);
  const endRequest = targets.findTarget('t1')?.startRequest();
  await clock.tickAsync(1_000);
  t.is(state.probeCount, 1);
  t.false(link.isCutOff);
  state.probeResult = 'no_connection';
  await clock.tickAsync(2_000);
  t.true(link.isCutOff);
  endRequest?.();
});

test.serial('a silence shorter than half a second is nothing', async t => {
  const { clock, link, state, targets } = createLink(t);
  targets.findTarget('t1')?.startRequest();
  for (let i = 0; i < 20; i += 1) {
    await clock.tickAsync(500);
    link.recordAnswer();
  }
  t.is(state.probeCount, 0);
});

// Guards against requests that are handed over because the probed targets stand still.
test.serial(
  'targets that stand still for two seconds are not the link',
  async t => {
    const { clock, link, state, targets, fail } = createLink(t);
    targets.findTarget('t1')?.startRequest();
    state.probeResult = 'silent';
    fail('t1', 't2');
    await clock.tickAsync(2_000);
    t.false(link.isCutOff);
    t.true(state.probeCount > 0);
    state.probeResult = 'answers';
    await clock.tickAsync(2_000);
    t.false(link.isCutOff);
  },
);

test.serial('targets that are silent for good are the link', async t => {
  const { clock, link, state, targets } = createLink(t);
  targets.findTarget('t1')?.startRequest();
  state.probeResult = 'silent';
  await clock.tickAsync(4_500);
  t.true(link.isCutOff);
});

test.serial(
  'the verdict can be awaited while the link is in doubt',
  async t => {
    const { link, state, fail } = createLink(t);
    state.probeResult = 'no_connection';
    fail('t1', 't2');
    await link.settle();
    t.true(link.isCutOff);
  },
);

test('targets in different data centres that have not failed are probed first', t => {
  const targets = new TargetRegistry({
    log: createMemoryLog(),
    getKvCacheTokens: () => 1_000,
  });
  for (const [id, dataCenter] of [
    ['a1', 'a'],
    ['a2', 'a'],
    ['b1', 'b'],
    ['c1', 'c'],
    ['c2', 'c'],
  ] as const)
    targets.registerTarget(createTargetRecord(id, { dataCenter }));
  const select = (failed: readonly string[]) =>
    selectProbedTargets(
      targets.listTargets(),
      id => failed.includes(id),
      () => 0.5,
    ).map(({ record }) => record.id);
  t.deepEqual(select([]), ['a1', 'b1', 'c1']);
  t.deepEqual(select(['a1', 'c1']), ['a2', 'b1', 'c2']);
  targets.findTarget('b1')?.startQuietPeriod(10_000);
  t.deepEqual(select([]), ['a1', 'c1', 'a2']);
});
