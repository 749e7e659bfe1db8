import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { RequestQuarantine } from './request-quarantine.js';

const createCrash = (target: string, atMs = performance.now()) => ({
  fingerprint: 'f',
  target,
  startedAtMs: 0,
  atMs,
  lastUseMs: atMs,
});

/** Lets the quarantines of two instances exchange what they have not told each other. */
const exchange = (one: RequestQuarantine, two: RequestQuarantine): void => {
  const [fromOne, fromTwo] = [one, two].map(
    quarantine =>
      [quarantine.listCrashes(false), quarantine.takeAnswers()] as const,
  );
  if (fromOne !== undefined) two.apply(...fromOne);
  if (fromTwo !== undefined) one.apply(...fromTwo);
};

test.serial(
  'a request that crashes three targets is refused everywhere',
  async t => {
    const clock = installPausedClock(t);
    const [one, two] = [new RequestQuarantine(), new RequestQuarantine()];
    for (const target of ['a', 'b', 'c']) {
      t.false(one.isRefused('f') || two.isRefused('f'));
      one.recordCrash(createCrash(target));
      await clock.tickAsync(1_000);
      exchange(one, two);
    }
    t.true(one.isRefused('f'));
    t.true(two.isRefused('f'));
  },
);

// Guards against a page that is refused for good because many read it while targets crash.
test.serial(
  'a request that is answered between the crashes is not refused, wherever it was answered',
  async t => {
    const clock = installPausedClock(t);
    const [one, two] = [new RequestQuarantine(), new RequestQuarantine()];
    for (const target of ['a', 'b', 'c', 'd']) {
      one.recordCrash(createCrash(target));
      await clock.tickAsync(50);
      exchange(one, two);
      two.recordAnswer('f');
      exchange(two, one);
      t.false(one.isRefused('f') || two.isRefused('f'), target);
      await clock.tickAsync(5_000);
    }
  },
);

test.serial(
  'a crash that is reported after a later answer does not count',
  async t => {
    const clock = installPausedClock(t);
    const [one, two] = [new RequestQuarantine(), new RequestQuarantine()];
    const crashedAtMs = performance.now();
    await clock.tickAsync(40);
    two.recordAnswer('f');
    for (const target of ['a', 'b', 'c'])
      one.recordCrash(createCrash(target, crashedAtMs));
    t.true(one.isRefused('f'));
    exchange(one, two);
    t.false(two.isRefused('f'));
    exchange(two, one);
    t.false(one.isRefused('f'));
  },
);

// Guards against instances that start and send a request that is known to crash targets.
test.serial(
  'crashes of a refused request are repeated for instances that start',
  async t => {
    const clock = installPausedClock(t);
    const quarantine = new RequestQuarantine();
    for (const target of ['a', 'b', 'c', 'd'])
      quarantine.recordCrash(createCrash(target));
    t.is(quarantine.listCrashes(true).length, 4);
    for (let i = 0; i < 3; i += 1) {
      await clock.tickAsync(1_000);
      const started = new RequestQuarantine();
      started.apply(quarantine.listCrashes(true), []);
      t.true(started.isRefused('f'));
    }
    await clock.tickAsync(1_000);
    t.deepEqual(quarantine.listCrashes(false), []);
    quarantine.recordAnswer('f');
    t.deepEqual(quarantine.listCrashes(true), []);
    t.is(quarantine.refusedCount, 0);
  },
);

test.serial(
  'a refused request is accepted again once it has not come for ten minutes, everywhere',
  async t => {
    const clock = installPausedClock(t);
    const [one, two] = [new RequestQuarantine(), new RequestQuarantine()];
    for (const target of ['a', 'b', 'c']) one.recordCrash(createCrash(target));
    const exchangeFor = async (minutes: number) => {
      for (let i = 0; i < minutes; i += 1) {
        two.apply(one.listCrashes(true), []);
        one.apply(two.listCrashes(true), []);
        await clock.tickAsync(60_000);
      }
    };
    await exchangeFor(9);
    t.true(two.isRefused('f'));
    await exchangeFor(9);
    t.true(one.isRefused('f'));
    await exchangeFor(11);
    t.false(one.isRefused('f') || two.isRefused('f'));
  },
);

// Guards against a service of one or two targets that a request crashes again and again.
test.serial(
  'a target that starts again under its id counts each time it crashes',
  t => {
    installPausedClock(t);
    const quarantine = new RequestQuarantine();
    for (const startedAtMs of [1, 2, 2, 3]) {
      t.false(quarantine.isRefused('f'));
      quarantine.recordCrash({ ...createCrash('a'), startedAtMs });
    }
    t.true(quarantine.isRefused('f'));
  },
);

test.serial(
  'the report of an earlier version counts no crash that is known already',
  t => {
    installPausedClock(t);
    const quarantine = new RequestQuarantine();
    for (const target of ['a', 'b']) {
      quarantine.recordCrash({ ...createCrash(target), startedAtMs: 7 });
      quarantine.apply([{ ...createCrash(target), startedAtMs: 0 }], []);
      quarantine.recordCrash({ ...createCrash(target), startedAtMs: 7 });
    }
    t.false(quarantine.isRefused('f'));
  },
);

test.serial('an answer from before a crash says nothing of it', async t => {
  const clock = installPausedClock(t);
  const quarantine = new RequestQuarantine();
  quarantine.recordAnswer('f');
  await clock.tickAsync(10);
  for (const target of ['a', 'b', 'c'])
    quarantine.recordCrash(createCrash(target));
  t.true(quarantine.isRefused('f'));
});
