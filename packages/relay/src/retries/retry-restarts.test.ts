import test from 'ava';
import type { ExecutionContext } from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';
import { createSeededRandom } from '../fixtures/seeded-random.js';

import { RetryBudget } from './retry-budget.js';

const instanceCount = 9;
const requestsPerSecond = 220;
const windowMs = 10_000;
const ratio = 0.2;
const allowance = 58;
const stepMs = 50;
const msPerSecond = 1_000;
/** Requests go on at other targets this often before one takes them. */
const triesPerRequest = 5;

/** Requests and retries that all instances together made in one step. */
interface Step {
  readonly requestCount: number;
  readonly retryCount: number;
}

const createBudget = (): RetryBudget =>
  new RetryBudget({
    windowMs,
    knownSinceMs: performance.now(),
    getLimits: () => ({
      retriesPerRequest: ratio,
      deploymentAllowance: allowance,
      instanceCount,
    }),
  });

const countRetries = (budget: RetryBudget): number => {
  let count = 0;
  while (count < triesPerRequest) {
    const permit = budget.tryReserveRetry();
    if (permit === undefined) break;
    permit.use();
    count += 1;
  }
  return count;
};

/** When targets refuse, and when the process of an instance starts anew. */
interface Schedule {
  readonly refusesAt: (nowMs: number) => boolean;
  readonly startsAt: (instance: number, nowMs: number) => boolean;
}

const playMs = 40_000;

/** Plays a deployment and returns its steps. */
const playSchedule = async (
  t: ExecutionContext,
  { refusesAt, startsAt }: Schedule,
): Promise<Step[]> => {
  const clock = installPausedClock(t);
  const budgets = Array.from({ length: instanceCount }, createBudget);
  const steps: Step[] = [];
  let dueRequests = 0;
  for (let nowMs = 0; nowMs < playMs; nowMs += stepMs) {
    await clock.tickAsync(stepMs);
    for (const instance of budgets.keys())
      if (startsAt(instance, nowMs)) budgets[instance] = createBudget();
    let requestCount = 0;
    let retryCount = 0;
    for (
      dueRequests += requestsPerSecond * (stepMs / msPerSecond);
      dueRequests >= 1;
      dueRequests -= 1
    ) {
      const budget = budgets[(steps.length + requestCount) % instanceCount];
      if (budget === undefined) break;
      budget.recordRequest();
      requestCount += 1;
      if (refusesAt(nowMs)) retryCount += countRetries(budget);
    }
    steps.push({ requestCount, retryCount });
  }
  clock.uninstall();
  return steps;
};

const sumRequests = (steps: readonly Step[]): number =>
  steps.reduce((sum, { requestCount }) => sum + requestCount, 0);

/** Largest number of retries in a window beyond what the requests allow. */
const findLargestExcess = (steps: readonly Step[]): number => {
  const length = windowMs / stepMs;
  const excesses = steps.slice(length, -length).map((_step, i) => {
    const from = i + length;
    const requestCount = Math.max(
      ...[0, length / 2, length].map(shift =>
        sumRequests(steps.slice(from - shift, from - shift + length)),
      ),
    );
    const retryCount = steps
      .slice(from, from + length)
      .reduce((sum, step) => sum + step.retryCount, 0);
    return retryCount - ratio * requestCount - allowance;
  });
  return Math.max(...excesses);
};

for (const restartSeconds of [[], [14], [14, 17], [13, 15, 17], [12.5, 21.5]])
  test.serial(
    `instances that all start anew at seconds ${restartSeconds.join(', ') || '(none)'} keep to the retry budget`,
    async t => {
      const steps = await playSchedule(t, {
        refusesAt: nowMs => nowMs >= 12_000,
        startsAt: (_instance, nowMs) =>
          restartSeconds.includes(nowMs / msPerSecond),
      });
      const excess = findLargestExcess(steps);
      t.true(excess <= 0, `${excess} retries too many`);
    },
  );

test.serial(
  'instances that start anew at random, at random refusals, keep to the retry budget',
  async t => {
    for (let seed = 1; seed <= 25; seed += 1) {
      const random = createSeededRandom(seed);
      const drawTime = () => Math.round((random() * playMs) / stepMs) * stepMs;
      const refusals = Array.from({ length: 4 }, () => {
        const fromMs = drawTime();
        return { fromMs, toMs: fromMs + 12_000 * random() };
      });
      const restartsOfAll = Array.from({ length: 4 }, drawTime);
      const restarts = Array.from({ length: 2 * instanceCount }, drawTime);
      const steps = await playSchedule(t, {
        refusesAt: nowMs =>
          refusals.some(({ fromMs, toMs }) => nowMs >= fromMs && nowMs < toMs),
        startsAt: (instance, nowMs) =>
          restartsOfAll.includes(nowMs) ||
          restarts[instance] === nowMs ||
          restarts[instance + instanceCount] === nowMs,
      });
      const excess = findLargestExcess(steps);
      t.true(excess <= 0, `seed ${seed}: ${excess} retries too many`);
    }
  },
);
