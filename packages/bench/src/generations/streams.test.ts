import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createCompletionText } from '@medlarlever/stand-ins';

import { collect, GenerationFleet, model } from './generation-fleet.js';
import type { GenerationFleetOptions, Received } from './generation-fleet.js';

/** A fleet whose engines' loads are known, under a paused clock. */
const fleetOf = async (
  t: ExecutionContext,
  options: Partial<GenerationFleetOptions> = {},
) => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed: 1, ...options });
  t.teardown(() => {
    fleet.stop();
    clock.uninstall();
  });
  await clock.tickAsync(600);
  return { clock, fleet };
};

const isWhole = (
  t: ExecutionContext,
  received: Received,
  prompt: string,
  maxTokens = 20,
) => {
  t.is(received.failure?.message, undefined);
  t.is(received.texts.join(''), createCompletionText(prompt, model, maxTokens));
  t.truthy(received.end);
};

const prompt = 'Is "Bogotá, D. C." right in a headline?';

test.serial('a silent stream is resumed on a new connection', async t => {
  const { clock, fleet } = await fleetOf(t);
  const received = fleet.send(0, { prompt });
  await clock.tickAsync(150);
  const engine = fleet.busyEngine();
  engine?.silenceStreams();
  await clock.tickAsync(3_200);
  isWhole(t, received, prompt);
  t.is(engine?.callCounts.probe, 1);
  t.is(engine?.startedGenerationIds.length, 1);
});

test.serial('doubled and swapped chunks come once and in order', async t => {
  const { clock, fleet } = await fleetOf(t);
  for (const engine of fleet.pool.engines) engine.faults.reordersChunks = true;
  const odd = fleet.send(0, { prompt, maxTokens: 19 });
  const even = fleet.send(1, { prompt, maxTokens: 20 });
  await clock.tickAsync(5_000);
  isWhole(t, odd, prompt, 19);
  isWhole(t, even, prompt);
});

test.serial('a crash is told once and every answer stays whole', async t => {
  const engines = [{ name: 'engine-1' }];
  const { clock, fleet } = await fleetOf(t, { engines });
  const prompts = ['a', 'b', 'c'].map(name => `${prompt} ${name}`);
  const received = prompts.map(text => fleet.send(0, { prompt: text }));
  await clock.tickAsync(150);
  fleet.engine('engine-1').crash();
  await clock.tickAsync(1_000);
  t.true(received.every(answer => answer.endedMs === undefined));
  fleet.restart(fleet.engine('engine-1'));
  await clock.tickAsync(5_000);
  t.deepEqual(
    fleet.at(0).quarantine.crashes.map(crash => crash.fingerprints),
    [prompts],
  );
  for (const [i, answer] of received.entries()) {
    isWhole(t, answer, prompts[i] ?? '');
  }
});

test.serial('a caller rejoins through another instance', async t => {
  const { clock, fleet } = await fleetOf(t);
  const background = true;
  const gone = new AbortController();
  const first = fleet.send(0, { prompt, background }, gone.signal);
  await clock.tickAsync(150);
  gone.abort();
  await clock.tickAsync(0);
  t.is(first.failure?.code, 'caller_gone');
  const { signal } = new AbortController();
  const { dispatcher } = fleet.at(1);
  const id = first.id ?? '';
  const after = first.texts.length - 1;
  const second = collect(dispatcher.resumeStream(id, 'desk', after, signal));
  const other = collect(dispatcher.resumeStream(id, 'escort', -1, signal));
  const forged = collect(dispatcher.resumeStream(`x${id}`, 'desk', -1, signal));
  await clock.tickAsync(2_000);
  second.texts.unshift(...first.texts);
  isWhole(t, second, prompt);
  t.is(other.failure?.code, 'stream_not_found');
  t.is(forged.failure?.code, 'stream_not_found');
  t.deepEqual([...other.texts, ...forged.texts], []);
});

test.serial('a rejoin follows a stream past a crash and a hint', async t => {
  const { clock, fleet } = await fleetOf(t);
  const first = fleet.send(0, { prompt, maxTokens: 60 });
  await clock.tickAsync(150);
  fleet.busyEngine()?.crash();
  const { signal } = new AbortController();
  const id = first.id ?? '';
  const rejoined = [-1, 2].map(after =>
    collect(fleet.at(1).dispatcher.resumeStream(id, 'desk', after, signal)),
  );
  await clock.tickAsync(8_000);
  isWhole(t, first, prompt, 60);
  rejoined[1]?.texts.unshift(...first.texts.slice(0, 3));
  for (const answer of rejoined) isWhole(t, answer, prompt, 60);
});

test.serial('an exported stream goes on without losing a token', async t => {
  const { clock, fleet } = await fleetOf(t);
  const received = fleet.send(0, { prompt });
  await clock.tickAsync(150);
  const engine = fleet.busyEngine();
  void engine?.exportStream(engine.simulator.activeGenerationIds[0] ?? '');
  await clock.tickAsync(3_000);
  isWhole(t, received, prompt);
  t.is(fleet.pool.engines.flatMap(e => e.startedGenerationIds).length, 2);
});

test.serial('a slow caller holds little and can rejoin', async t => {
  const settings = { buffer_bytes: 400, stall_ms: 1_000 };
  const { clock, fleet } = await fleetOf(t, { settings });
  const request = fleet.request({ prompt });
  const { signal } = new AbortController();
  const slow = fleet.at(0).dispatcher.dispatchGeneration(request, signal);
  await clock.tickAsync(5_000);
  const first = collect(slow);
  await clock.tickAsync(0);
  t.is(first.failure?.code, 'slow_caller');
  t.true(first.texts.length < 6);
  const { dispatcher } = fleet.at(1);
  const after = first.texts.length - 1;
  const rest = collect(
    dispatcher.resumeStream(first.id ?? '', 'desk', after, signal),
  );
  await clock.tickAsync(1_000);
  rest.texts.unshift(...first.texts);
  isWhole(t, rest, prompt);
});

test.serial(
  'a caller that goes ends the work and gets nothing late',
  async t => {
    const { clock, fleet } = await fleetOf(t);
    const gone = new AbortController();
    const received = fleet.send(0, { prompt, maxTokens: 500 }, gone.signal);
    const late = fleet.send(0, { prompt, maxTokens: 500, deadlineMs: 200 });
    await clock.tickAsync(150);
    const engines = fleet.pool.engines;
    const running = engines.flatMap(
      engine => engine.simulator.activeGenerationIds,
    ).length;
    gone.abort();
    await clock.tickAsync(0);
    const had = received.texts.length;
    t.is(received.failure?.code, 'caller_gone');
    t.is(received.failure?.executed, 'unknown');
    await clock.tickAsync(50);
    t.is(late.endedMs, Date.now(), 'answered at the deadline');
    t.is(late.failure?.code, 'deadline_exceeded');
    await clock.tickAsync(100);
    t.is(received.texts.length, had);
    t.is(running, 2);
    t.deepEqual(
      engines.flatMap(engine => engine.simulator.activeGenerationIds),
      [],
    );
    t.is(
      engines.flatMap(engine => engine.startedGenerationIds).length,
      2,
      'no retry',
    );
  },
);

test.serial('refusals move on, are bounded and say what is true', async t => {
  const { clock, fleet } = await fleetOf(t, { retries: 1 });
  for (const engine of fleet.pool.engines) engine.faults.refuse = true;
  const refused = fleet.send(0, { prompt });
  await clock.tickAsync(0);
  t.is(refused.failure?.code, 'retry_budget_exhausted');
  t.is(refused.failure?.executed, 'no');
  t.truthy(refused.failure?.retryAfterMs);
  const calls = fleet.pool.engines.map(engine => engine.callCounts.generate);
  t.deepEqual(calls.sort(), [0, 1, 1], 'never the same engine twice');
  t.deepEqual(
    fleet.pool.engines.flatMap(e => e.startedGenerationIds),
    [],
  );
});

test.serial(
  'a split prompt is prefilled apart, or whole if that fails',
  async t => {
    const engines = [
      { name: 'prefill-1', role: 'prefill' as const },
      { name: 'decode-1', role: 'decode' as const },
    ];
    const { clock, fleet } = await fleetOf(t, { engines });
    const long = `${prompt} `.repeat(1_000);
    const first = fleet.send(0, { prompt: long });
    await clock.tickAsync(4_000);
    isWhole(t, first, long);
    t.deepEqual(
      fleet.pool.engines.map(e => e.callCounts.generate),
      [1, 1],
    );
    const second = fleet.send(0, { prompt: `x${long}` });
    await clock.tickAsync(100);
    fleet.engine('prefill-1').crash();
    await clock.tickAsync(6_000);
    isWhole(t, second, `x${long}`);
  },
);
