import test from 'ava';
import type { ExecutionContext } from 'ava';

import { installPausedClock } from '../fixtures/paused-clock.js';

import { RetryBudget } from './retry-budget.js';

const instanceCount = 9;
const requestsPerSecond = 220;
const windowMs = 10_000;
const ratio = 0.2;
const allowance = 58;
const stepMs = 50;
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

/**
 * Plays a deployment whose targets refuse from second 12 on and whose instances all start
 * anew at the times; returns its steps.
 */
const playRestarts = async (
  t: ExecutionContext,
  restartSeconds: readonly number[],
): Promise<Step[]> => {
  const clock = installPausedClock(t);
  let budgets: RetryBudget[] = [];
  const startAll = () => {
    budgets = Array.from({ length: instanceCount }, createBudget);
  };
  startAll();
  const steps: Step[] = [];
  let dueRequests = 0;
  for (let nowMs = 0; nowMs < 40_000; nowMs += stepMs) {
    await clock.tickAsync(stepMs);
    if (restartSeconds.some(second => second * 1_000 === nowMs)) startAll();
    let requestCount = 0;
    let retryCount = 0;
    for (
      dueRequests += requestsPerSecond * (stepMs / 1_000);
      dueRequests >= 1;
      dueRequests -= 1
    ) {
      const budget = budgets[requestCount % instanceCount];
      if (budget === undefined) break;
      budget.recordRequest();
      requestCount += 1;
      if (nowMs >= 12_000) retryCount += countRetries(budget);
    }
    steps.push({ requestCount, retryCount });
  }
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
      const steps = await playRestarts(t, restartSeconds);
      const excess = findLargestExcess(steps);
      t.true(excess <= 0, `${excess} retries too many`);
    },
  );
