/** Tests that duties run at one instance at a time, under one lease. */
import FakeTimers from '@sinonjs/fake-timers';
import { InstanceRegistry, Leases } from '@medlarlever/core';
import { MemoryTable } from '@medlarlever/stand-ins';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import { createMemoryLog } from '../fixtures/relay-fixtures.js';

import { Duty } from './duty.js';
import type { DutyAuthority } from './duty-authority.js';
import { DutyLeader } from './duty-leader.js';

const leaseDurationMs = 3_000;

/** Confirmed steps of all instances, in their order. */
interface RecordedStep {
  readonly atMs: number;
  readonly instance: string;
  readonly duty: string;
  readonly fencingToken: number;
}

class RecordingDuty extends Duty {
  override isImpeded = false;
  startCount = 0;
  /** What a step awaits before it confirms the lease. */
  delay: () => Promise<void> = () => Promise.resolve();

  constructor(
    readonly instance: string,
    override readonly name: string,
    private readonly steps: RecordedStep[],
  ) {
    super();
  }

  override startTerm(): void {
    this.startCount += 1;
  }

  override async takeStep(authority: DutyAuthority): Promise<void> {
    await this.delay();
    const key = { partition: 'lease-test', sort: this.name };
    const confirmation = await authority.confirm([
      { kind: 'put', key, condition: { kind: 'any' }, value: 1 },
    ]);
    confirmation.ifRight(({ fencingToken }) => {
      const { instance, name: duty } = this;
      this.steps.push({
        atMs: performance.now(),
        instance,
        duty,
        fencingToken,
      });
    });
  }
}

const setUp = (t: ExecutionContext) => {
  const clock = FakeTimers.install({ now: 0 });
  t.teardown(() => {
    clock.uninstall();
  });
  const table = new MemoryTable();
  const steps: RecordedStep[] = [];
  let seed = 0;
  const random = () => (seed = (seed * 16_807 + 11) % 2_147_483_647) / 2 ** 31;
  const startInstance = (name: string) => {
    const log = createMemoryLog();
    const stop = new AbortController();
    t.teardown(() => {
      stop.abort();
    });
    const leader = new DutyLeader({
      table,
      leases: new Leases({
        table,
        self: { name, incarnation: name },
        random,
        log,
        leaseDurationMs,
      }),
      registry: new InstanceRegistry({
        name,
        dataCenter: 'a',
        incarnation: name,
        address: '10.0.0.1:1',
        state: 'live',
        revision: 0,
        startedAtMs: 0,
        version: 0,
      }),
      log,
      random,
      leaseDurationMs,
    });
    const duties = ['one', 'two'].map(
      duty => new RecordingDuty(name, duty, steps),
    );
    for (const duty of duties) leader.addDuty(duty);
    void leader.run(stop.signal);
    return { duties, stop, log };
  };
  return { clock, table, steps, startInstance };
};

/** Checks the order of tokens, and the time between steps of different holders. */
const assertOneHolder = (
  t: ExecutionContext,
  steps: readonly RecordedStep[],
) => {
  for (const [i, step] of steps.entries()) {
    const previous = steps[i - 1];
    if (previous === undefined) continue;
    t.true(step.fencingToken >= previous.fencingToken);
    if (step.instance === previous.instance) continue;
    t.true(step.fencingToken > previous.fencingToken);
    t.true(step.atMs - previous.atMs >= leaseDurationMs);
  }
};

test.serial('all duties run at one instance, under one token', async t => {
  const { clock, steps, startInstance } = setUp(t);
  startInstance('a');
  startInstance('b');
  await clock.tickAsync(20_000);
  t.deepEqual([...new Set(steps.map(({ duty }) => duty))].sort(), [
    'one',
    'two',
  ]);
  t.is(new Set(steps.map(({ instance }) => instance)).size, 1);
  t.is(new Set(steps.map(({ fencingToken }) => fencingToken)).size, 1);
});

test.serial(
  'an impeded holder gives the lease up, and does not compete for it',
  async t => {
    const { clock, steps, startInstance } = setUp(t);
    const a = startInstance('a');
    await clock.tickAsync(10_000);
    startInstance('b');
    const [duty] = a.duties;
    if (duty !== undefined) duty.isImpeded = true;
    await clock.tickAsync(20_000);
    t.is(steps.at(-1)?.instance, 'b');
    t.is(a.duties[0]?.startCount, 1);
    assertOneHolder(t, steps);
  },
);

test.serial('a step that hangs keeps no other duty from its steps', async t => {
  const { clock, steps, startInstance } = setUp(t);
  const { duties } = startInstance('a');
  const [duty] = duties;
  if (duty !== undefined) duty.delay = () => new Promise(() => undefined);
  await clock.tickAsync(20_000);
  t.true(steps.length > 10);
  t.deepEqual([...new Set(steps.map(({ duty: name }) => name))], ['two']);
});

test.serial(
  'a step that began before the lease was lost gets no confirmation',
  async t => {
    const { clock, steps, startInstance, table } = setUp(t);
    const a = startInstance('a');
    await clock.tickAsync(6_000);
    const [duty] = a.duties;
    let resume: () => void = () => undefined;
    if (duty !== undefined)
      duty.delay = () =>
        new Promise(resolve => {
          resume = resolve;
        });
    await clock.tickAsync(1_000);
    // The store is cut off until the lease has expired; then another one takes it.
    table.faults.down = true;
    await clock.tickAsync(8_000);
    a.stop.abort();
    table.faults.down = false;
    startInstance('b');
    await clock.tickAsync(20_000);
    const stepCount = steps.filter(({ instance }) => instance === 'a').length;
    resume();
    await clock.tickAsync(2_000);
    t.is(steps.filter(({ instance }) => instance === 'a').length, stepCount);
    t.is(steps.at(-1)?.instance, 'b');
    assertOneHolder(t, steps);
  },
);

test.serial(
  'a confirmation that took half a second permits nothing',
  async t => {
    const { clock, steps, startInstance, table } = setUp(t);
    startInstance('a');
    await clock.tickAsync(6_000);
    const stepCount = steps.length;
    t.true(stepCount > 0);
    table.faults.slowMs = 500;
    await clock.tickAsync(4_000);
    t.is(steps.length, stepCount);
  },
);

test.serial(
  'after a restore of the store, steps wait and carry a higher token',
  async t => {
    const { clock, steps, startInstance, table } = setUp(t);
    startInstance('a');
    startInstance('b');
    const backup = table.createBackup();
    await clock.tickAsync(12_000);
    const before = steps.at(-1);
    table.restoreBackup(backup);
    const restoredAtMs = performance.now();
    await clock.tickAsync(30_000);
    const later = steps.filter(({ atMs }) => atMs > restoredAtMs);
    t.true(later.length > 0);
    t.true((later[0]?.atMs ?? 0) >= restoredAtMs + leaseDurationMs);
    t.true((later[0]?.fencingToken ?? 0) > (before?.fencingToken ?? 0));
    t.is(new Set(later.map(({ instance }) => instance)).size, 1);
  },
);
