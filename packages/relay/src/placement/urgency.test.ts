import test from 'ava';

import { computeUrgency, goesBehind } from './urgency.js';

const latencyTargetMs = 600;

/** A prompt that waits at an engine; times are in milliseconds. */
interface WaitingPrompt {
  readonly arrivedMs: number;
  readonly prefillMs: number;
}

/**
 * Time of each prompt from its arrival to the end of its prefill at one engine that
 * runs one prompt at a time, the most urgent first, then the one that waits longest.
 */
const replayQueue = (
  prompts: readonly WaitingPrompt[],
  getUrgency: (prompt: WaitingPrompt) => number,
): number[] => {
  const waiting = prompts.map((prompt, i) => ({ prompt, i }));
  const durations = prompts.map(() => 0);
  let nowMs = 0;
  while (waiting.length > 0) {
    const arrived = waiting.filter(({ prompt }) => prompt.arrivedMs <= nowMs);
    arrived.sort(
      (a, b) =>
        getUrgency(a.prompt) - getUrgency(b.prompt) ||
        a.prompt.arrivedMs - b.prompt.arrivedMs,
    );
    const next = arrived[0];
    if (next === undefined) {
      nowMs = Math.min(...waiting.map(({ prompt }) => prompt.arrivedMs));
      continue;
    }
    waiting.splice(waiting.indexOf(next), 1);
    nowMs += next.prompt.prefillMs;
    durations[next.i] = nowMs - next.prompt.arrivedMs;
  }
  return durations;
};

/** A burst of prompts, most with a cached shared part and some without. */
const createBurst = (): WaitingPrompt[] =>
  Array.from({ length: 60 }, (_, i) => ({
    arrivedMs: i * 55,
    prefillMs: [70, 25, 60, 330, 40, 110, 30, 260, 55, 45][i % 10] ?? 0,
  }));

test('in a burst of prompts with few uncached ones, more are in time than in order of arrival', t => {
  const countInTime = (durations: readonly number[]) =>
    durations.filter(ms => ms <= latencyTargetMs).length;
  const inOrder = countInTime(replayQueue(createBurst(), () => 0));
  const byUrgency = countInTime(
    replayQueue(createBurst(), ({ prefillMs }) =>
      computeUrgency({
        rank: 1,
        prefillMs,
        promptMs: prefillMs,
        latencyTargetMs,
        expectedLatencyMs: prefillMs,
      }),
    ),
  );
  t.true(byUrgency >= inOrder + 15, `${byUrgency} against ${inOrder}`);
});

// More prompts than the engine can do in time: in the order of arrival, the queue grows
// until each prompt waits longer than its callers want.
test('in an overload, prompts that will be late do not make the others late', t => {
  const prompts = Array.from({ length: 120 }, (_, i) => ({
    arrivedMs: i * 30,
    prefillMs: 40,
  }));
  const countInTime = (durations: readonly number[]) =>
    durations.filter(ms => ms <= latencyTargetMs).length;
  const inOrder = countInTime(replayQueue(prompts, () => 0));
  // What waits in time at the arrival of each prompt, as the instances count it.
  const urgencies = new Map<WaitingPrompt, number>();
  let freeAtMs = 0;
  for (const prompt of prompts) {
    const startMs = Math.max(freeAtMs, prompt.arrivedMs);
    const expectedLatencyMs = startMs + prompt.prefillMs - prompt.arrivedMs;
    const options = {
      ...prompt,
      promptMs: prompt.prefillMs,
      rank: 1,
      latencyTargetMs,
      expectedLatencyMs,
    };
    if (!goesBehind(options)) freeAtMs = startMs + prompt.prefillMs;
    urgencies.set(prompt, computeUrgency(options));
  }
  const byUrgency = countInTime(
    replayQueue(prompts, prompt => urgencies.get(prompt) ?? 0),
  );
  t.true(byUrgency >= inOrder + 10, `${byUrgency} against ${inOrder}`);
});

// An engine that preempts a long prompt reads it again, which makes others late as well.
test('a long prompt that will be late is not put back, whatever is left of it to compute', t => {
  const urgency = computeUrgency({
    rank: 1,
    prefillMs: 0,
    promptMs: 330,
    latencyTargetMs,
    expectedLatencyMs: 2 * latencyTargetMs,
  });
  t.is(urgency, 3);
});

test('no prompt of a rank is more urgent than one of a higher rank', t => {
  const levels = [0, 1, 2].map(rank =>
    [1, 100, 10_000].map(prefillMs =>
      computeUrgency({
        rank,
        prefillMs,
        promptMs: prefillMs,
        latencyTargetMs,
        expectedLatencyMs: prefillMs,
      }),
    ),
  );
  t.deepEqual(levels, [
    [0, 1, 2],
    [3, 4, 5],
    [6, 7, 8],
  ]);
});

test('the level stays within the engines’ range', t => {
  const urgency = computeUrgency({
    rank: 40,
    prefillMs: 1,
    promptMs: 1,
    latencyTargetMs,
    expectedLatencyMs: 1,
  });
  t.is(urgency, 9);
});
