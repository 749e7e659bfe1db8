/** Tests of the order, the limits and the refusals of fair admission. */
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

const createRequest = (options: RequestOptions): AdmissionRequest => ({
  entitlement: {
    customer: options.customer ?? 'desk',
    ranking: rankingSettingsSchema.parse({ priority: options.priority ?? 5 }),
    limits: customerLimitsSchema.parse(options.limits ?? {}),
  } as Entitlement,
  service: options.service ?? 'models',
  deadline: Deadline.after(options.deadlineMs ?? 60_000),
  promptTokens: options.tokens ?? 100,
  outputTokens: 0,
});

const installClock = (t: ExecutionContext) => {
  const clock = install({ now: 1_000_000 });
  t.teardown(() => {
    clock.uninstall();
  });
  return clock;
};

/**
 * Creates an admission whose requests are expected to run for one second, and
 * collects the results of its requests.
 */
const createAdmission = (maxRunning: number, maxQueued = 100) => {
  const admission = new FairAdmission({
    getServiceLimits: () => ({ maxRunning, maxQueued }),
    estimateRunMs: () => 1_000,
    random: () => 0,
  });
  const results: string[] = [];
  const permits: AdmissionPermit[] = [];
  const retryAfterMsValues: number[] = [];
  const sendRequest = (name: string, options: RequestOptions = {}) => {
    const abortController = new AbortController();
    void admission
      .acquirePermit(createRequest(options), abortController.signal)
      .then(result => {
        result.caseOf({
          Left: failure => {
            results.push(`${name} ${failure.code} ${failure.executed}`);
            retryAfterMsValues.push(failure.retryAfterMs ?? 0);
          },
          Right: permit => {
            results.push(name);
            permits.push(permit);
          },
        });
      });
    return abortController;
  };
  return { admission, results, permits, retryAfterMsValues, sendRequest };
};

test.serial(
  'priority goes before deadline, and customers of equal priority take turns',
  async t => {
    const clock = installClock(t);
    const { results, permits, sendRequest } = createAdmission(1);
    sendRequest('running', { customer: 'x' });
    for (const n of [1, 2, 3]) sendRequest(`a${n}`, { customer: 'a' });
    sendRequest('b late', { customer: 'b', deadlineMs: 50_000 });
    sendRequest('b soon', { customer: 'b', deadlineMs: 40_000 });
    sendRequest('ranked', { customer: 'a', priority: 9 });
    for (let i = 0; i < 7; i += 1) {
      await clock.tickAsync(10);
      permits.at(-1)?.release();
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
  },
);

test.serial(
  'a request that cannot meet its deadline is refused at once without running',
  async t => {
    const clock = installClock(t);
    const { results, retryAfterMsValues, sendRequest } = createAdmission(1);
    sendRequest('running');
    sendRequest('first', { deadlineMs: 10_000 });
    sendRequest('hopeless', { customer: 'b', deadlineMs: 2_500 });
    await clock.tickAsync(0);
    t.deepEqual(results, ['running', 'hopeless overloaded no']);
    t.true((retryAfterMsValues[0] ?? 0) >= 500, 'the failure has a retry time');
    await clock.tickAsync(7_900);
    t.is(results.length, 2);
    await clock.tickAsync(1_100);
    t.is(
      results[2],
      'first overloaded no',
      'refused one run time before its deadline',
    );
  },
);

test.serial(
  'a queued request that higher priorities delay past its deadline is refused at once',
  async t => {
    const clock = installClock(t);
    const { results, sendRequest } = createAdmission(1);
    sendRequest('running');
    sendRequest('low', { customer: 'b', priority: 1, deadlineMs: 4_000 });
    await clock.tickAsync(0);
    for (const n of [1, 2, 3]) sendRequest(`high${n}`, { priority: 9 });
    await clock.tickAsync(0);
    t.deepEqual(results, ['running', 'low overloaded no']);
  },
);

test.serial(
  'each service queue, customer queue and token rate has its own limit',
  async t => {
    const clock = installClock(t);
    const { admission, results, retryAfterMsValues, permits, sendRequest } =
      createAdmission(2, 2);
    const limits = { in_flight: 1, queued: 1 };
    sendRequest('a1', { customer: 'a', limits });
    sendRequest('a2', { customer: 'a', limits });
    sendRequest('a3', { customer: 'a', limits });
    sendRequest('b1', { customer: 'b' });
    sendRequest('b2', { customer: 'b' });
    sendRequest('b3', { customer: 'b' });
    sendRequest('other', { customer: 'a', service: 'booking', limits });
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
    for (const permit of permits.slice()) permit.release();
    await clock.tickAsync(0);
    for (const permit of permits.slice()) permit.release();
    results.length = retryAfterMsValues.length = 0;
    const slowLimits = { tokens_per_minute: 600 };
    sendRequest('c1', { customer: 'c', tokens: 500, limits: slowLimits });
    sendRequest('c2', { customer: 'c', tokens: 200, limits: slowLimits });
    await clock.tickAsync(0);
    t.deepEqual(results, ['c1', 'c2 rate_limited no']);
    t.deepEqual(retryAfterMsValues, [10_000]);
    await clock.tickAsync(10_000);
    sendRequest('c3', { customer: 'c', tokens: 200, limits: slowLimits });
    await clock.tickAsync(0);
    t.is(results[2], 'c3');
  },
);

test.serial(
  'a request that leaves the queue gets its tokens back and holds no permit',
  async t => {
    const clock = installClock(t);
    const { admission, results, permits, sendRequest } = createAdmission(1);
    const limits = { tokens_per_minute: 300 };
    sendRequest('running', { limits });
    const abortController = sendRequest('gone', { limits });
    await clock.tickAsync(0);
    abortController.abort();
    sendRequest('next', { limits });
    permits[0]?.release();
    permits[0]?.release();
    await clock.tickAsync(0);
    t.deepEqual(results, ['running', 'gone caller_gone no', 'next']);
    t.deepEqual(admission.listQueues(), []);
  },
);
