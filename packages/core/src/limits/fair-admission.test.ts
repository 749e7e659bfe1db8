import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';

import type { Entitlement } from '../config/entitlement.js';
import {
  customerLimitsSchema,
  rankingSettingsSchema,
} from '../config/template.js';
import type { CustomerLimits } from '../config/template.js';
import { Deadline } from '../shared/time.js';

import type { AdmissionRequest, AdmissionPermit } from './admission.js';
import { FairAdmission } from './fair-admission.js';

interface RequestOptions {
  readonly customer?: string;
  readonly service?: string;
  readonly priority?: number;
  readonly deadlineMs?: number;
  readonly tokens?: number;
  readonly limits?: Partial<CustomerLimits>;
}

const createRequest = (asked: RequestOptions): AdmissionRequest => ({
  entitlement: {
    customer: asked.customer ?? 'desk',
    ranking: rankingSettingsSchema.parse({ priority: asked.priority ?? 5 }),
    limits: customerLimitsSchema.parse(asked.limits ?? {}),
  } as Entitlement,
  service: asked.service ?? 'models',
  deadline: Deadline.after(asked.deadlineMs ?? 60_000),
  promptTokens: asked.tokens ?? 100,
  outputTokens: 0,
});

const installClock = (t: ExecutionContext) => {
  const clock = install({ now: 1_000_000 });
  t.teardown(() => {
    clock.uninstall();
  });
  return clock;
};

/** Admission whose requests are expected to run for a second. */
const createAdmission = (running: number, queued = 100) => {
  const admission = new FairAdmission({
    getServiceLimits: () => ({ maxRunning: running, maxQueued: queued }),
    estimateRunMs: () => 1_000,
    random: () => 0,
  });
  const results: string[] = [];
  const tickets: AdmissionPermit[] = [];
  const retries: number[] = [];
  const enter = (name: string, asked: RequestOptions = {}) => {
    const gone = new AbortController();
    void admission
      .acquirePermit(createRequest(asked), gone.signal)
      .then(result => {
        result.caseOf({
          Left: failure => {
            results.push(`${name} ${failure.code} ${failure.executed}`);
            retries.push(failure.retryAfterMs ?? 0);
          },
          Right: ticket => {
            results.push(name);
            tickets.push(ticket);
          },
        });
      });
    return gone;
  };
  return { admission, results, tickets, retries, enter };
};

test.serial('rank goes before deadline and customers take turns', async t => {
  const clock = installClock(t);
  const { results, tickets, enter } = createAdmission(1);
  enter('running', { customer: 'x' });
  for (const n of [1, 2, 3]) enter(`a${n}`, { customer: 'a' });
  enter('b late', { customer: 'b', deadlineMs: 50_000 });
  enter('b soon', { customer: 'b', deadlineMs: 40_000 });
  enter('ranked', { customer: 'a', priority: 9 });
  for (let i = 0; i < 7; i += 1) {
    await clock.tickAsync(10);
    tickets.at(-1)?.release();
  }
  t.deepEqual(results, [
    'running',
    'ranked',
    'a1',
    'b soon',
    'a2',
    'b late',
    'a3',
  ]);
});

test.serial('what cannot be in time is refused at once, unrun', async t => {
  const clock = installClock(t);
  const { results, retries, enter } = createAdmission(1);
  enter('running');
  enter('first', { deadlineMs: 10_000 });
  enter('hopeless', { customer: 'b', deadlineMs: 2_500 });
  await clock.tickAsync(0);
  t.deepEqual(results, ['running', 'hopeless overloaded no']);
  t.true((retries[0] ?? 0) >= 500, 'told when to come back');
  await clock.tickAsync(7_900);
  t.is(results.length, 2);
  await clock.tickAsync(1_100);
  t.is(results[2], 'first overloaded no', 'a second is needed, not the end');
});

test.serial(
  'higher rank that pushes others out sheds them at once',
  async t => {
    const clock = installClock(t);
    const { results, enter } = createAdmission(1);
    enter('running');
    enter('low', { customer: 'b', priority: 1, deadlineMs: 4_000 });
    await clock.tickAsync(0);
    for (const n of [1, 2, 3]) enter(`high${n}`, { priority: 9 });
    await clock.tickAsync(0);
    t.deepEqual(results, ['running', 'low overloaded no']);
  },
);

test.serial(
  'services, customers and rates have bounds of their own',
  async t => {
    const clock = installClock(t);
    const { admission, results, retries, tickets, enter } = createAdmission(
      2,
      2,
    );
    const one = { in_flight: 1, queued: 1 };
    enter('a1', { customer: 'a', limits: one });
    enter('a2', { customer: 'a', limits: one });
    enter('a3', { customer: 'a', limits: one });
    enter('b1', { customer: 'b' });
    enter('b2', { customer: 'b' });
    enter('b3', { customer: 'b' });
    enter('other', { customer: 'a', service: 'booking', limits: one });
    await clock.tickAsync(0);
    t.deepEqual(results.sort(), [
      'a1',
      'a3 overloaded no',
      'b1',
      'b3 overloaded no',
      'other',
    ]);
    t.deepEqual(
      admission.listQueues().map(queue => [queue.customer, queue.waiting]),
      [
        ['a', 1],
        ['b', 1],
      ],
    );
    for (const ticket of tickets.slice()) ticket.release();
    await clock.tickAsync(0);
    for (const ticket of tickets.slice()) ticket.release();
    results.length = retries.length = 0;
    const slow = { tokens_per_minute: 600 };
    enter('c1', { customer: 'c', tokens: 500, limits: slow });
    enter('c2', { customer: 'c', tokens: 200, limits: slow });
    await clock.tickAsync(0);
    t.deepEqual(results, ['c1', 'c2 rate_limited no']);
    t.deepEqual(retries, [10_000]);
    await clock.tickAsync(10_000);
    enter('c3', { customer: 'c', tokens: 200, limits: slow });
    await clock.tickAsync(0);
    t.is(results[2], 'c3');
  },
);

test.serial('a caller that leaves the queue costs nothing', async t => {
  const clock = installClock(t);
  const { admission, results, tickets, enter } = createAdmission(1);
  const limits = { tokens_per_minute: 300 };
  enter('running', { limits });
  const gone = enter('gone', { limits });
  await clock.tickAsync(0);
  gone.abort();
  enter('next', { limits });
  tickets[0]?.release();
  tickets[0]?.release();
  await clock.tickAsync(0);
  t.deepEqual(results, ['running', 'gone caller_gone no', 'next']);
  t.deepEqual(admission.listQueues(), []);
});
