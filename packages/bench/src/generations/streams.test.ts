import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createCompletionText } from '@medlarlever/stand-ins';

import { collectAnswer, GenerationFleet, modelId } from './generation-fleet.js';
import type {
  GenerationFleetOptions,
  ReceivedAnswer,
} from './generation-fleet.js';

/** A fleet whose engines' loads are known, under a paused clock. */
const createFleet = async (
  t: ExecutionContext,
  options: Partial<GenerationFleetOptions> = {},
) => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed: 1, ...options });
  t.teardown(() => {
    fleet.stopBackgroundTasks();
    clock.uninstall();
  });
  await clock.tickAsync(600);
  return { clock, fleet };
};

const assertCompleteAnswer = (
  t: ExecutionContext,
  received: ReceivedAnswer,
  prompt: string,
  maxTokens = 20,
) => {
  t.is(received.failure?.message, undefined);
  t.is(
    received.chunkTexts.join(''),
    createCompletionText(prompt, modelId, maxTokens),
  );
  t.truthy(received.endReason);
};

const prompt = 'Is "Bogotá, D. C." right in a headline?';

test.serial('a silent stream is resumed on a new connection', async t => {
  const { clock, fleet } = await createFleet(t);
  const received = fleet.sendRequest(0, { prompt });
  await clock.tickAsync(150);
  const engine = fleet.findBusyEngine();
  engine?.silenceStreams();
  await clock.tickAsync(3_200);
  assertCompleteAnswer(t, received, prompt);
  t.is(engine?.callCounts.probe, 1);
  t.is(engine?.startedGenerationIds.length, 1);
});

test.serial('doubled and swapped chunks come once and in order', async t => {
  const { clock, fleet } = await createFleet(t);
  for (const engine of fleet.enginePool.engines)
    engine.faults.reordersChunks = true;
  const odd = fleet.sendRequest(0, { prompt, maxTokens: 19 });
  const even = fleet.sendRequest(1, { prompt, maxTokens: 20 });
  await clock.tickAsync(5_000);
  assertCompleteAnswer(t, odd, prompt, 19);
  assertCompleteAnswer(t, even, prompt);
});

test.serial('a crash is told once and every answer stays whole', async t => {
  const engines = [{ name: 'engine-1' }];
  const { clock, fleet } = await createFleet(t, { engineOptions: engines });
  const prompts = ['a', 'b', 'c'].map(name => `${prompt} ${name}`);
  const received = prompts.map(text => fleet.sendRequest(0, { prompt: text }));
  await clock.tickAsync(150);
  fleet.getEngine('engine-1').crash();
  await clock.tickAsync(1_000);
  t.true(received.every(answer => answer.endedAtMs === undefined));
  fleet.restartEngine(fleet.getEngine('engine-1'));
  await clock.tickAsync(5_000);
  t.deepEqual(
    fleet
      .getInstance(0)
      .quarantine.recordedCrashes.map(crash => crash.fingerprints),
    [prompts],
  );
  for (const [i, answer] of received.entries()) {
    assertCompleteAnswer(t, answer, prompts[i] ?? '');
  }
});

test.serial('a caller rejoins through another instance', async t => {
  const { clock, fleet } = await createFleet(t);
  const background = true;
  const gone = new AbortController();
  const first = fleet.sendRequest(
    0,
    { prompt, isBackground: background },
    gone.signal,
  );
  await clock.tickAsync(150);
  gone.abort();
  await clock.tickAsync(0);
  t.is(first.failure?.code, 'caller_gone');
  const { signal } = new AbortController();
  const { dispatcher } = fleet.getInstance(1);
  const id = first.id ?? '';
  const after = first.chunkTexts.length - 1;
  const second = collectAnswer(
    dispatcher.resumeStream(id, 'desk', after, signal),
  );
  const other = collectAnswer(
    dispatcher.resumeStream(id, 'escort', -1, signal),
  );
  const forged = collectAnswer(
    dispatcher.resumeStream(`x${id}`, 'desk', -1, signal),
  );
  await clock.tickAsync(2_000);
  second.chunkTexts.unshift(...first.chunkTexts);
  assertCompleteAnswer(t, second, prompt);
  t.is(other.failure?.code, 'stream_not_found');
  t.is(forged.failure?.code, 'stream_not_found');
  t.deepEqual([...other.chunkTexts, ...forged.chunkTexts], []);
});

test.serial('a rejoin follows a stream past a crash and a hint', async t => {
  const { clock, fleet } = await createFleet(t);
  const first = fleet.sendRequest(0, { prompt, maxTokens: 60 });
  await clock.tickAsync(150);
  fleet.findBusyEngine()?.crash();
  const { signal } = new AbortController();
  const id = first.id ?? '';
  const rejoined = [-1, 2].map(after =>
    collectAnswer(
      fleet.getInstance(1).dispatcher.resumeStream(id, 'desk', after, signal),
    ),
  );
  await clock.tickAsync(8_000);
  assertCompleteAnswer(t, first, prompt, 60);
  rejoined[1]?.chunkTexts.unshift(...first.chunkTexts.slice(0, 3));
  for (const answer of rejoined) assertCompleteAnswer(t, answer, prompt, 60);
});

test.serial('an exported stream goes on without losing a token', async t => {
  const { clock, fleet } = await createFleet(t);
  const received = fleet.sendRequest(0, { prompt });
  await clock.tickAsync(150);
  const engine = fleet.findBusyEngine();
  void engine?.exportStream(engine.simulator.activeGenerationIds[0] ?? '');
  await clock.tickAsync(3_000);
  assertCompleteAnswer(t, received, prompt);
  t.is(fleet.enginePool.engines.flatMap(e => e.startedGenerationIds).length, 2);
});

test.serial('a slow caller holds little and can rejoin', async t => {
  const settings = { buffer_bytes: 400, stall_ms: 1_000 };
  const { clock, fleet } = await createFleet(t, { streamSettings: settings });
  const request = fleet.createRequest({ prompt });
  const { signal } = new AbortController();
  const slow = fleet
    .getInstance(0)
    .dispatcher.dispatchGeneration(request, signal);
  await clock.tickAsync(5_000);
  const first = collectAnswer(slow);
  await clock.tickAsync(0);
  t.is(first.failure?.code, 'slow_caller');
  t.true(first.chunkTexts.length < 6);
  const { dispatcher } = fleet.getInstance(1);
  const after = first.chunkTexts.length - 1;
  const rest = collectAnswer(
    dispatcher.resumeStream(first.id ?? '', 'desk', after, signal),
  );
  await clock.tickAsync(1_000);
  rest.chunkTexts.unshift(...first.chunkTexts);
  assertCompleteAnswer(t, rest, prompt);
});

test.serial(
  'a caller that goes ends the work and gets nothing late',
  async t => {
    const { clock, fleet } = await createFleet(t);
    const gone = new AbortController();
    const received = fleet.sendRequest(
      0,
      { prompt, maxTokens: 500 },
      gone.signal,
    );
    const late = fleet.sendRequest(0, {
      prompt,
      maxTokens: 500,
      deadlineMs: 200,
    });
    await clock.tickAsync(150);
    const engines = fleet.enginePool.engines;
    const running = engines.flatMap(
      engine => engine.simulator.activeGenerationIds,
    ).length;
    gone.abort();
    await clock.tickAsync(0);
    const had = received.chunkTexts.length;
    t.is(received.failure?.code, 'caller_gone');
    t.is(received.failure?.executed, 'unknown');
    await clock.tickAsync(50);
    t.is(late.endedAtMs, Date.now(), 'answered at the deadline');
    t.is(late.failure?.code, 'deadline_exceeded');
    await clock.tickAsync(100);
    t.is(received.chunkTexts.length, had);
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
  const { clock, fleet } = await createFleet(t, { maxRetries: 1 });
  for (const engine of fleet.enginePool.engines) engine.faults.refuse = true;
  const refused = fleet.sendRequest(0, { prompt });
  await clock.tickAsync(0);
  t.is(refused.failure?.code, 'retry_budget_exhausted');
  t.is(refused.failure?.executed, 'no');
  t.truthy(refused.failure?.retryAfterMs);
  const calls = fleet.enginePool.engines.map(
    engine => engine.callCounts.generate,
  );
  t.deepEqual(calls.sort(), [0, 1, 1], 'never the same engine twice');
  t.deepEqual(
    fleet.enginePool.engines.flatMap(e => e.startedGenerationIds),
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
    const { clock, fleet } = await createFleet(t, { engineOptions: engines });
    const long = `${prompt} `.repeat(1_000);
    const first = fleet.sendRequest(0, { prompt: long });
    await clock.tickAsync(4_000);
    assertCompleteAnswer(t, first, long);
    t.deepEqual(
      fleet.enginePool.engines.map(e => e.callCounts.generate),
      [1, 1],
    );
    const second = fleet.sendRequest(0, { prompt: `x${long}` });
    await clock.tickAsync(100);
    fleet.getEngine('prefill-1').crash();
    await clock.tickAsync(6_000);
    assertCompleteAnswer(t, second, `x${long}`);
  },
);
