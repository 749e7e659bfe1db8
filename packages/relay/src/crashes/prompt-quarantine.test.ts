import type { Clock } from '@sinonjs/fake-timers';
import test from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import { createMemoryLog } from '../fixtures/relay-fixtures.js';

import { AnswerProgress } from './answer-progress.js';
import { PromptQuarantine } from './prompt-quarantine.js';
import { selectSharedParts } from './target-crash.js';

/** Instances that tell each other of crashes when `exchange` is called. */
const createInstances = (count: number) => {
  const answerAgesMs = new Map<string, number>();
  const instances = Array.from(
    { length: count },
    () =>
      new PromptQuarantine({
        log: createMemoryLog(),
        getAnswerAgeMs: ({ target }) => answerAgesMs.get(target),
      }),
  );
  const exchange = () => {
    const reports = instances.map(instance => ({
      crashes: instance.listCrashes(true),
      answers: instance.listAnswers(),
      refuted: instance.listRefuted(),
    }));
    for (const instance of instances) {
      for (const report of reports) instance.apply(report);
    }
  };
  return { instances, exchange, answerAgesMs };
};

const recordCrash = (
  instance: PromptQuarantine | undefined,
  target: string,
  parts = ['rules', 'bad'],
) => {
  instance?.recordCrash({
    target,
    startedAtMs: 1,
    atMs: performance.now(),
    suspects: [parts],
  });
};

/** Records as many crashes as show a cause, some time apart. */
const recordThreeCrashes = async (
  clock: Clock,
  instance: PromptQuarantine | undefined,
  parts?: string[],
) => {
  for (const target of ['t1', 't2', 't3']) {
    recordCrash(instance, target, parts);
    await clock.tickAsync(400);
  }
};

test.serial(
  'crashes at several instances add up, and one crash that all see counts once',
  async t => {
    const clock = installPausedClock(t);
    const { instances, exchange } = createInstances(5);
    for (const target of ['t1', 't2']) {
      for (const instance of instances) recordCrash(instance, target);
      await clock.tickAsync(500);
      exchange();
    }
    t.true(instances.every(instance => instance.causeCount === 0));
    recordCrash(instances[3], 't3');
    exchange();
    for (const instance of instances) {
      t.truthy(instance.findCause(['rules', 'bad', 'x']));
      t.is(instance.findCause(['rules', 'x']), undefined);
    }
  },
);

test.serial(
  'an instance that starts later learns which part crashes targets',
  async t => {
    const clock = installPausedClock(t);
    const { instances, exchange } = createInstances(2);
    await recordThreeCrashes(clock, instances[0]);
    exchange();
    for (let i = 0; i < 100; i += 1) {
      await clock.tickAsync(3_000);
      t.truthy(instances[0]?.findCause(['rules', 'bad']));
    }
    const late = createInstances(1).instances[0];
    late?.apply({
      crashes: instances[0]?.listCrashes(true) ?? [],
      answers: [],
      refuted: [],
    });
    t.truthy(late?.findCause(['rules', 'bad']));
  },
);

test.serial(
  'a part is forgotten when no request with it comes for ten minutes',
  async t => {
    const clock = installPausedClock(t);
    const { instances, exchange } = createInstances(2);
    await recordThreeCrashes(clock, instances[0]);
    for (let i = 0; i < 61; i += 1) {
      await clock.tickAsync(10_000);
      exchange();
    }
    t.deepEqual(
      instances.map(({ causeCount }) => causeCount),
      [0, 0],
    );
  },
);

test.serial('an answer that comes late releases a part everywhere', async t => {
  const clock = installPausedClock(t);
  const { instances, exchange } = createInstances(2);
  await recordThreeCrashes(clock, instances[0], ['part']);
  exchange();
  t.truthy(instances[1]?.findCause(['part']));
  instances[0]?.recordAnswer(['part']);
  exchange();
  t.is(instances[1]?.findCause(['part']), undefined);
});

test.serial(
  'targets that another instance still hears from have not crashed',
  async t => {
    const clock = installPausedClock(t);
    const { instances, exchange, answerAgesMs } = createInstances(2);
    for (const target of ['t1', 't2', 't3', 't4'])
      recordCrash(instances[0], target, ['part']);
    await clock.tickAsync(300);
    for (const target of ['t1', 't2', 't3', 't4']) answerAgesMs.set(target, 10);
    exchange();
    exchange();
    t.deepEqual(
      instances.map(instance => instance.findCause(['part'])),
      [undefined, undefined],
    );
  },
);

test.serial(
  'a part that was answered before is refused for a few seconds',
  async t => {
    const clock = installPausedClock(t);
    const { instances } = createInstances(1);
    instances[0]?.recordAnswer(['part']);
    for (const target of ['t1', 't2', 't3', 't4', 't5']) {
      await clock.tickAsync(500);
      recordCrash(instances[0], target, ['part']);
    }
    t.truthy(instances[0]?.findCause(['part']));
    await clock.tickAsync(5_000);
    t.is(instances[0]?.findCause(['part']), undefined);
  },
);

test.serial(
  'a target has survived an answer some time after its first event',
  async t => {
    const clock = installPausedClock(t);
    let survivalCount = 0;
    const progress = new AnswerProgress(() => {
      survivalCount += 1;
    });
    progress.complete();
    progress.recordEvent();
    await clock.tickAsync(100);
    progress.recordEvent();
    t.true(progress.isSuspect);
    await clock.tickAsync(200);
    progress.recordEvent();
    progress.complete();
    t.false(progress.isSuspect);
    t.is(survivalCount, 1);
  },
);

test('prompts of absurd size are remembered in part', t => {
  const parts = Array.from({ length: 1_000 }, (_, i) => `part-${i}`);
  const selected = selectSharedParts([...parts, 'x'.repeat(1_000)]);
  t.true(selected.length < 100);
  t.true(selected.every(part => part.length < 200));
  const { instances } = createInstances(1);
  for (let i = 0; i < 2_000; i += 1)
    recordCrash(instances[0], `t${i}`, [`p${i}`]);
  t.true((instances[0]?.listCrashes(true).length ?? 0) < 300);
});

test.serial(
  'crashes that show a cause are kept when many others follow',
  async t => {
    const clock = installPausedClock(t);
    const { instances } = createInstances(1);
    await recordThreeCrashes(clock, instances[0]);
    for (let i = 0; i < 500; i += 1)
      recordCrash(instances[0], `other-${i}`, [`part-${i}`]);
    t.truthy(instances[0]?.findCause(['rules', 'bad']));
  },
);
