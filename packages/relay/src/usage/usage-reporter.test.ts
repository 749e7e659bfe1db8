/** Plays the failures of usage reports on the duty, with a paused clock. */
import FakeTimers from '@sinonjs/fake-timers';
import type { Transaction } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { UsageDeployment, usageTiming } from '../fixtures/usage-deployment.js';
import type { UsageInstance } from '../fixtures/usage-deployment.js';

/** Start of a window. */
const startMs = 353_445_120 * usageTiming.windowMs;
const requestIntervalMs = 40;
const customers = ['andina', 'petits', 'third'];

/** Time from a start of all instances until the first window is surely reported. */
const settlingMs = 20_000;

const createRandom = (seed: number) => {
  let state = seed;
  return () => (state = (state * 16_807 + 11) % 2_147_483_647) / 2 ** 31;
};

const setUp = (
  t: ExecutionContext,
  { names = ['a', 'b', 'c'], seed = 7, requestsPerTick = 1 } = {},
) => {
  const clock = FakeTimers.install({ now: startMs });
  t.teardown(() => {
    clock.uninstall();
  });
  const random = createRandom(seed);
  const deployment = new UsageDeployment(random);
  for (const name of names) deployment.start(name);
  const load = setInterval(() => {
    const running = [...deployment.instances.values()].filter(
      ({ isRunning }) => isRunning,
    );
    for (let i = 0; i < requestsPerTick; i += 1) {
      const instance = running[Math.floor(random() * running.length)];
      const customer = customers[Math.floor(random() * customers.length)];
      if (instance !== undefined && customer !== undefined)
        deployment.recordRequest(instance, customer);
    }
  }, requestIntervalMs);
  return { clock, deployment, load, dutyInterface: deployment.dutyInterface };
};

const getHolder = (deployment: UsageDeployment): UsageInstance => {
  const { holder } = deployment;
  if (holder === undefined) throw new Error('no instance holds the lease');
  return holder;
};

/** Returns an instance that does not hold the lease. */
const getOther = (deployment: UsageDeployment): UsageInstance => {
  const holder = getHolder(deployment);
  const other = [...deployment.instances.values()].find(
    instance => instance !== holder,
  );
  if (other === undefined) throw new Error('no other instance');
  return other;
};

const getCurrentWindow = () => Math.floor(Date.now() / usageTiming.windowMs);

const getLastClosedWindow = () =>
  Math.floor((Date.now() - usageTiming.maxDelayMs) / usageTiming.windowMs) - 1;

/** True if the transaction writes the report of a window. */
const isReportWrite = ({ writes }: Transaction) =>
  writes.some(
    ({ kind, key }) => kind === 'put' && key.sort.startsWith('window-'),
  );

/** Checks the rules that hold whatever fails. */
const assertSound = (t: ExecutionContext, deployment: UsageDeployment) => {
  const { acceptedReports, calls } = deployment.dutyInterface;
  const windows = new Set(acceptedReports.map(({ report }) => report.window));
  for (const window of windows) {
    const counts = new Set(deployment.dutyInterface.listCounts(window));
    t.is(counts.size, 1, `window ${window} has reports that differ`);
  }
  const senders = new Map<number, string>();
  let highestToken = 0;
  for (const { holder, sender } of calls) {
    t.true(holder.fencingToken >= highestToken, 'a lower token was sent');
    highestToken = holder.fencingToken;
    t.is(
      senders.get(highestToken) ?? sender,
      sender,
      'a token has two senders',
    );
    senders.set(highestToken, sender);
  }
};

/** Windows from the first to the last that are not reported or deviate by over 5%. */
const listFaults = (deployment: UsageDeployment, from: number, to: number) => {
  const { truth, dutyInterface } = deployment;
  const missed: number[] = [];
  const wrong: number[] = [];
  for (let window = from; window <= to; window += 1) {
    const [text] = dutyInterface.listCounts(window);
    if (text === undefined) {
      missed.push(window);
      continue;
    }
    const counts = JSON.parse(text) as Record<string, number>;
    const names = new Set([
      ...Object.keys(counts),
      ...(truth.get(window)?.keys() ?? []),
    ]);
    const isWrong = [...names].some(name => {
      const expected = truth.get(window)?.get(name) ?? 0;
      return Math.abs((counts[name] ?? 0) - expected) > 0.05 * expected;
    });
    if (isWrong) wrong.push(window);
  }
  return { missed, wrong };
};

const firstWindow = startMs / usageTiming.windowMs;

test.serial(
  'each window is reported once, in time, with all requests',
  async t => {
    const { clock, deployment, dutyInterface } = setUp(t);
    await clock.tickAsync(120_000);
    const last = getLastClosedWindow();
    t.deepEqual(listFaults(deployment, firstWindow, last), {
      missed: [],
      wrong: [],
    });
    t.is(dutyInterface.calls.length, dutyInterface.acceptedReports.length);
    for (const { atMs, report } of dutyInterface.acceptedReports) {
      const dueMs =
        (report.window + 1) * usageTiming.windowMs + usageTiming.maxDelayMs;
      t.true(startMs + atMs <= dueMs);
    }
    assertSound(t, deployment);
  },
);

test.serial(
  'only the holder shows the age of the last accepted window',
  async t => {
    const { clock, deployment } = setUp(t);
    await clock.tickAsync(40_000);
    const age = /usage_accepted_age_seconds (\d+)/;
    const accepted = /usage_windows_total\{outcome="accepted"\} [1-9]/;
    for (const { metricsRegistry, isHolder } of deployment.instances.values()) {
      const text = await metricsRegistry.metrics();
      t.is(age.test(text), isHolder);
      t.is(accepted.test(text), isHolder);
      t.true(Number(age.exec(text)?.[1] ?? 0) < 20);
    }
  },
);

test.serial(
  'windows without requests are reported empty, and no message is sent',
  async t => {
    const { clock, deployment, dutyInterface, load } = setUp(t);
    clearInterval(load);
    await clock.tickAsync(60_000);
    t.is(dutyInterface.listCounts(firstWindow + 4).at(0), '{}');
    // The two requests of the new holder to the others are all.
    t.true(deployment.messageBytes.length <= 8);
  },
);

for (const moment of ['before the row', 'between row and call'] as const) {
  test.serial(
    `a holder that is killed ${moment} is replaced without a differing report`,
    async t => {
      const { clock, deployment, dutyInterface } = setUp(t);
      await clock.tickAsync(settlingMs);
      const holder = getHolder(deployment);
      const acceptedBefore = dutyInterface.acceptedReports.length;
      if (moment === 'before the row') {
        deployment.kill(holder.name);
      } else {
        holder.table.onCommitted = transaction => {
          if (holder.isRunning && isReportWrite(transaction))
            deployment.kill(holder.name);
        };
      }
      await clock.tickAsync(60_000);
      t.false(holder.isRunning);
      t.true(dutyInterface.acceptedReports.length > acceptedBefore);
      t.not(deployment.holder?.name, holder.name);
      t.deepEqual(
        listFaults(deployment, firstWindow, getLastClosedWindow()).missed,
        [],
      );
      assertSound(t, deployment);
    },
  );
}

test.serial(
  'a report whose answer is lost with the holder is repeated exactly',
  async t => {
    const { clock, deployment, dutyInterface } = setUp(t);
    await clock.tickAsync(settlingMs);
    const holder = getHolder(deployment);
    const window = (dutyInterface.calls.at(-1)?.report.window ?? 0) + 1;
    dutyInterface.behavior = 'answers lost';
    dutyInterface.onCall = () => {
      if (dutyInterface.calls.at(-1)?.report.window !== window) return;
      deployment.kill(holder.name);
      dutyInterface.behavior = 'accepting';
      dutyInterface.onCall = () => undefined;
    };
    await clock.tickAsync(40_000);
    t.false(holder.isRunning);
    const senders = dutyInterface.acceptedReports
      .filter(({ report }) => report.window === window)
      .map(({ sender }) => sender);
    t.true(new Set(senders).size === 2);
    assertSound(t, deployment);
  },
);

test.serial(
  'a holder that is suspended between row and call sends nothing',
  async t => {
    const { clock, deployment, dutyInterface } = setUp(t, { names: ['a'] });
    await clock.tickAsync(settlingMs);
    const holder = getHolder(deployment);
    let callsAtResumption: number | undefined;
    holder.table.onCommitted = transaction => {
      if (callsAtResumption !== undefined || !isReportWrite(transaction))
        return;
      callsAtResumption = dutyInterface.calls.length;
      // The time of day moves on during a suspension, the monotonic clock does not.
      const now = Date.now.bind(Date);
      Date.now = () => now() + 9_000;
    };
    while (callsAtResumption === undefined) await clock.tickAsync(100);
    await clock.tickAsync(100);
    t.is(dutyInterface.calls.length, callsAtResumption);
    await clock.tickAsync(30_000);
    t.true(dutyInterface.calls.length > callsAtResumption);
    assertSound(t, deployment);
  },
);

for (const behavior of [
  'down',
  'answers lost',
  'rate_limited',
  'refused',
] as const) {
  test.serial(
    `reports are repeated, with pauses, while the interface is "${behavior}"`,
    async t => {
      const { clock, deployment, dutyInterface } = setUp(t);
      let arrivalCount = 0;
      dutyInterface.onCall = () => (arrivalCount += 1);
      await clock.tickAsync(settlingMs);
      dutyInterface.behavior = behavior;
      arrivalCount = 0;
      await clock.tickAsync(12_000);
      t.true(arrivalCount >= 2);
      t.true(arrivalCount <= 16);
      dutyInterface.behavior = 'accepting';
      await clock.tickAsync(45_000);
      const { missed, wrong } = listFaults(
        deployment,
        firstWindow,
        getLastClosedWindow(),
      );
      t.deepEqual({ missed, wrong }, { missed: [], wrong: [] });
      const failures = [...deployment.instances.values()].flatMap(({ log }) =>
        log.entries.filter(({ name }) => name === 'duty_call_failed'),
      );
      t.true(failures.length > 0);
      assertSound(t, deployment);
    },
  );
}

test.serial('after a 429 no call is sent for a second or more', async t => {
  const { clock, deployment, dutyInterface } = setUp(t);
  await clock.tickAsync(settlingMs);
  dutyInterface.behavior = 'rate_limited';
  const callCount = dutyInterface.calls.length;
  await clock.tickAsync(20_000);
  const times = dutyInterface.calls.slice(callCount).map(({ atMs }) => atMs);
  const gaps = times.slice(1).map((atMs, i) => atMs - (times[i] ?? 0));
  t.true(gaps.length > 0);
  t.true(Math.min(...gaps) >= 1_000);
  assertSound(t, deployment);
});

test.serial(
  'without the store nothing is reported; the windows follow late and right',
  async t => {
    const { clock, deployment, dutyInterface } = setUp(t);
    await clock.tickAsync(settlingMs);
    for (const { faults } of deployment.instances.values()) faults.store = true;
    await clock.tickAsync(1_000);
    const callCount = dutyInterface.calls.length;
    await clock.tickAsync(30_000);
    t.is(dutyInterface.calls.length, callCount);
    for (const { faults } of deployment.instances.values())
      faults.store = false;
    await clock.tickAsync(60_000);
    t.deepEqual(listFaults(deployment, firstWindow, getLastClosedWindow()), {
      missed: [],
      wrong: [],
    });
    const events = [...deployment.instances.values()].flatMap(({ log }) =>
      log.entries.filter(({ name }) => name === 'usage_late'),
    );
    t.true(events.length > 0);
    assertSound(t, deployment);
  },
);

for (const loser of ['the holder stays', 'the holder is killed'] as const) {
  test.serial(
    `no window is reported with other counts after a restore; ${loser}`,
    async t => {
      const { clock, deployment, dutyInterface } = setUp(t);
      await clock.tickAsync(settlingMs);
      const backup = deployment.table.createBackup();
      const holder = getHolder(deployment);
      // Counts that arrive after the report make a second one differ.
      const other = getOther(deployment);
      const cutFrom = getCurrentWindow();
      other.faults.peers = true;
      await clock.tickAsync(30_000);
      other.faults.peers = false;
      const cutTo = getCurrentWindow();
      await clock.tickAsync(2_000);
      const answeredCallCount = dutyInterface.calls.length;
      const answeredWindows = dutyInterface.calls.map(
        ({ report }) => report.window,
      );
      dutyInterface.behavior = 'answers lost';
      await clock.tickAsync(6_000);
      deployment.table.restoreBackup(backup);
      if (loser === 'the holder is killed') deployment.kill(holder.name);
      dutyInterface.behavior = 'accepting';
      await clock.tickAsync(90_000);
      const { missed, wrong } = listFaults(
        deployment,
        firstWindow,
        getLastClosedWindow(),
      );
      const wrongOutsideCut = wrong.filter(
        window => window < cutFrom || window > cutTo,
      );
      t.deepEqual(wrongOutsideCut, []);
      const laterWindows = new Set(
        dutyInterface.calls
          .slice(answeredCallCount)
          .map(({ report }) => report.window),
      );
      // Only the process that got the answers knows that the reports were accepted.
      if (loser === 'the holder stays')
        t.false(answeredWindows.some(window => laterWindows.has(window)));
      t.log(`missed after the restore: ${missed.length}`);
      t.true(missed.length <= 3);
      assertSound(t, deployment);
    },
  );
}

test.serial(
  'a holder that alone does not reach the interface gives the lease up',
  async t => {
    const { clock, deployment, dutyInterface } = setUp(t);
    await clock.tickAsync(settlingMs);
    const holder = getHolder(deployment);
    holder.faults.dutyInterface = true;
    await clock.tickAsync(60_000);
    t.not(deployment.holder?.name, holder.name);
    t.deepEqual(listFaults(deployment, firstWindow, getLastClosedWindow()), {
      missed: [],
      wrong: [],
    });
    const last = dutyInterface.acceptedReports.at(-1);
    t.true((last?.report.window ?? 0) >= getLastClosedWindow());
    assertSound(t, deployment);
  },
);

test.serial(
  'counts of an instance that is cut off for some seconds are awaited',
  async t => {
    const { clock, deployment } = setUp(t);
    await clock.tickAsync(settlingMs);
    const other = getOther(deployment);
    other.faults.peers = true;
    await clock.tickAsync(9_000);
    other.faults.peers = false;
    await clock.tickAsync(40_000);
    t.deepEqual(listFaults(deployment, firstWindow, getLastClosedWindow()), {
      missed: [],
      wrong: [],
    });
  },
);

test.serial(
  'a holder that is no longer among the first by name gets all totals',
  async t => {
    const { clock, deployment } = setUp(t, { names: ['z'] });
    await clock.tickAsync(settlingMs);
    for (const name of ['a', 'b', 'c', 'd']) deployment.start(name);
    await clock.tickAsync(60_000);
    t.is(deployment.holder?.name, 'z');
    t.deepEqual(listFaults(deployment, firstWindow, getLastClosedWindow()), {
      missed: [],
      wrong: [],
    });
  },
);

test.serial('a regular stop loses no count and delays no window', async t => {
  const { clock, deployment } = setUp(t, { names: ['a', 'b', 'c', 'd'] });
  await clock.tickAsync(settlingMs);
  const other = getOther(deployment);
  await other.shutDown();
  await clock.tickAsync(20_000);
  await clock.tickAsync(40_000);
  t.deepEqual(listFaults(deployment, firstWindow, getLastClosedWindow()), {
    missed: [],
    wrong: [],
  });
});

test.serial(
  'messages between 24 instances stay under 9 KB a second at an instance',
  async t => {
    const names = Array.from({ length: 24 }, (_, i) => `node-${10 + i}`);
    const { clock, deployment } = setUp(t, { names });
    await clock.tickAsync(settlingMs);
    deployment.messageBytes.length = 0;
    await clock.tickAsync(10_000);
    const total = deployment.messageBytes.reduce(
      (sum, bytes) => sum + bytes,
      0,
    );
    const perSecond = total / names.length / 10;
    t.log(`${Math.round(perSecond)} bytes a second at an instance`);
    t.true(perSecond < 9_000);
  },
);

test.serial(
  'two hours of windows with kills and changes of the holder are right',
  async t => {
    const { clock, deployment } = setUp(t, {
      names: ['a', 'b', 'c', 'd', 'e'],
      seed: 20_261,
      // With fewer requests, the half second of a killed instance is over 5% of a customer.
      requestsPerTick: 10,
    });
    const random = createRandom(99);
    const windowCount = 1_440;
    let killCount = 0;
    let holderChangeCount = 0;
    let lastHolder: string | undefined;
    for (let i = 0; i < windowCount; i += 1) {
      await clock.tickAsync(usageTiming.windowMs);
      const { holder } = deployment;
      if (holder !== undefined && holder.record.incarnation !== lastHolder) {
        if (lastHolder !== undefined) holderChangeCount += 1;
        lastHolder = holder.record.incarnation;
      }
      if (i % 24 !== 20) continue;
      const names = [...deployment.instances.keys()];
      const victim =
        random() < 0.5 && holder !== undefined
          ? holder.name
          : (names[Math.floor(random() * names.length)] ?? 'a');
      killCount += 1;
      deployment.kill(victim);
      setTimeout(() => {
        deployment.start(victim);
      }, 9_000);
    }
    const last = getLastClosedWindow();
    const { missed, wrong } = listFaults(deployment, firstWindow, last);
    t.log(
      `${last - firstWindow + 1} windows, ${killCount} kills, ${holderChangeCount} changes of the holder: ` +
        `${missed.length} missed, ${wrong.length} wrong by more than 5%`,
    );
    t.deepEqual(missed, []);
    assertSound(t, deployment);
    t.deepEqual(wrong, []);
  },
);
