/** Tests of streamed generations: silent connections, crashes, exports, slow callers, refusals and split prefill. */
import { install } from '@sinonjs/fake-timers';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { createCompletionText } from '@medlarlever/stand-ins';

import { collectAnswer, GenerationFleet, modelId } from './generation-fleet.js';
import type {
  GenerationFleetOptions,
  ReceivedAnswer,
} from './generation-fleet.js';

/** Creates a fleet under a fake clock and lets its instances poll the engine loads for 600 ms. */
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

test.serial(
  'a stream that stops delivering data is resumed on a new connection',
  async t => {
    const { clock, fleet } = await createFleet(t);
    const received = fleet.sendRequest(0, { prompt });
    await clock.tickAsync(150);
    const engine = fleet.findBusyEngine();
    engine?.silenceStreams();
    await clock.tickAsync(3_200);
    assertCompleteAnswer(t, received, prompt);
    t.is(engine?.callCounts.probe, 1);
    t.is(engine?.startedGenerationIds.length, 1);
  },
);

test.serial(
  'duplicated and reordered chunks reach the caller once and in order',
  async t => {
    const { clock, fleet } = await createFleet(t);
    for (const engine of fleet.enginePool.engines)
      engine.faults.reordersChunks = true;
    const oddLengthAnswer = fleet.sendRequest(0, { prompt, maxTokens: 19 });
    const evenLengthAnswer = fleet.sendRequest(1, { prompt, maxTokens: 20 });
    await clock.tickAsync(5_000);
    assertCompleteAnswer(t, oddLengthAnswer, prompt, 19);
    assertCompleteAnswer(t, evenLengthAnswer, prompt);
  },
);

test.serial(
  'an engine crash is reported once and every answer is complete',
  async t => {
    const engines = [{ name: 'engine-1' }];
    const { clock, fleet } = await createFleet(t, { engineOptions: engines });
    const prompts = ['a', 'b', 'c'].map(name => `${prompt} ${name}`);
    const received = prompts.map(text =>
      fleet.sendRequest(0, { prompt: text }),
    );
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
  },
);

test.serial(
  'a caller resumes its stream through another instance and another customer cannot',
  async t => {
    const { clock, fleet } = await createFleet(t);
    const isBackground = true;
    const callerAbort = new AbortController();
    const first = fleet.sendRequest(
      0,
      { prompt, isBackground },
      callerAbort.signal,
    );
    await clock.tickAsync(150);
    callerAbort.abort();
    await clock.tickAsync(0);
    t.is(first.failure?.code, 'caller_gone');
    const { signal } = new AbortController();
    const { dispatcher } = fleet.getInstance(1);
    const id = first.id ?? '';
    const lastChunkIndex = first.chunkTexts.length - 1;
    const second = collectAnswer(
      dispatcher.resumeStream(id, 'desk', lastChunkIndex, signal),
    );
    const otherCustomerAnswer = collectAnswer(
      dispatcher.resumeStream(id, 'escort', -1, signal),
    );
    const forgedIdAnswer = collectAnswer(
      dispatcher.resumeStream(`x${id}`, 'desk', -1, signal),
    );
    await clock.tickAsync(2_000);
    second.chunkTexts.unshift(...first.chunkTexts);
    assertCompleteAnswer(t, second, prompt);
    t.is(otherCustomerAnswer.failure?.code, 'stream_not_found');
    t.is(forgedIdAnswer.failure?.code, 'stream_not_found');
    t.deepEqual(
      [...otherCustomerAnswer.chunkTexts, ...forgedIdAnswer.chunkTexts],
      [],
    );
  },
);

test.serial(
  'a stream can be resumed from any chunk while its engine crash is recovered',
  async t => {
    const { clock, fleet } = await createFleet(t);
    const first = fleet.sendRequest(0, { prompt, maxTokens: 60 });
    await clock.tickAsync(150);
    fleet.findBusyEngine()?.crash();
    const { signal } = new AbortController();
    const id = first.id ?? '';
    const resumedAnswers = [-1, 2].map(lastChunkIndex =>
      collectAnswer(
        fleet
          .getInstance(1)
          .dispatcher.resumeStream(id, 'desk', lastChunkIndex, signal),
      ),
    );
    await clock.tickAsync(8_000);
    assertCompleteAnswer(t, first, prompt, 60);
    resumedAnswers[1]?.chunkTexts.unshift(...first.chunkTexts.slice(0, 3));
    for (const answer of resumedAnswers)
      assertCompleteAnswer(t, answer, prompt, 60);
  },
);

test.serial(
  'a stream exported by its engine continues without losing a token',
  async t => {
    const { clock, fleet } = await createFleet(t);
    const received = fleet.sendRequest(0, { prompt });
    await clock.tickAsync(150);
    const engine = fleet.findBusyEngine();
    void engine?.exportStream(engine.simulator.activeGenerationIds[0] ?? '');
    await clock.tickAsync(3_000);
    assertCompleteAnswer(t, received, prompt);
    t.is(
      fleet.enginePool.engines.flatMap(
        poolEngine => poolEngine.startedGenerationIds,
      ).length,
      2,
    );
  },
);

test.serial(
  'a slow caller is cut off at a bounded buffer and can resume its stream',
  async t => {
    const settings = { buffer_bytes: 400, stall_ms: 1_000 };
    const { clock, fleet } = await createFleet(t, { streamSettings: settings });
    const request = fleet.createRequest({ prompt });
    const { signal } = new AbortController();
    const slowItems = fleet
      .getInstance(0)
      .dispatcher.dispatchGeneration(request, signal);
    await clock.tickAsync(5_000);
    const first = collectAnswer(slowItems);
    await clock.tickAsync(0);
    t.is(first.failure?.code, 'slow_caller');
    t.true(first.chunkTexts.length < 6);
    const { dispatcher } = fleet.getInstance(1);
    const lastChunkIndex = first.chunkTexts.length - 1;
    const remainder = collectAnswer(
      dispatcher.resumeStream(first.id ?? '', 'desk', lastChunkIndex, signal),
    );
    await clock.tickAsync(1_000);
    remainder.chunkTexts.unshift(...first.chunkTexts);
    assertCompleteAnswer(t, remainder, prompt);
  },
);

test.serial(
  'a disconnected caller or an expired deadline stops the generation',
  async t => {
    const { clock, fleet } = await createFleet(t);
    const callerAbort = new AbortController();
    const received = fleet.sendRequest(
      0,
      { prompt, maxTokens: 500 },
      callerAbort.signal,
    );
    const expiringAnswer = fleet.sendRequest(0, {
      prompt,
      maxTokens: 500,
      deadlineMs: 200,
    });
    await clock.tickAsync(150);
    const engines = fleet.enginePool.engines;
    const runningCount = engines.flatMap(
      engine => engine.simulator.activeGenerationIds,
    ).length;
    callerAbort.abort();
    await clock.tickAsync(0);
    const chunkCountAtAbort = received.chunkTexts.length;
    t.is(received.failure?.code, 'caller_gone');
    t.is(received.failure?.executed, 'unknown');
    await clock.tickAsync(50);
    t.is(expiringAnswer.endedAtMs, Date.now(), 'answered at the deadline');
    t.is(expiringAnswer.failure?.code, 'deadline_exceeded');
    await clock.tickAsync(100);
    t.is(received.chunkTexts.length, chunkCountAtAbort);
    t.is(runningCount, 2);
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

test.serial(
  'a refused request is retried on other engines within the retry limit and fails as not run',
  async t => {
    const { clock, fleet } = await createFleet(t, { maxRetries: 1 });
    for (const engine of fleet.enginePool.engines) engine.faults.refuse = true;
    const refusedAnswer = fleet.sendRequest(0, { prompt });
    await clock.tickAsync(0);
    t.is(refusedAnswer.failure?.code, 'retry_budget_exhausted');
    t.is(refusedAnswer.failure?.executed, 'no');
    t.truthy(refusedAnswer.failure?.retryAfterMs);
    const generateCounts = fleet.enginePool.engines.map(
      engine => engine.callCounts.generate,
    );
    t.deepEqual(
      generateCounts.sort(),
      [0, 1, 1],
      'no engine gets the request twice',
    );
    t.deepEqual(
      fleet.enginePool.engines.flatMap(engine => engine.startedGenerationIds),
      [],
    );
  },
);

test.serial(
  'a long prompt is prefilled on a prefill engine, or without a split if that engine fails',
  async t => {
    const engines = [
      { name: 'prefill-1', role: 'prefill' as const },
      { name: 'decode-1', role: 'decode' as const },
    ];
    const { clock, fleet } = await createFleet(t, { engineOptions: engines });
    const longPrompt = `${prompt} `.repeat(1_000);
    const first = fleet.sendRequest(0, { prompt: longPrompt });
    await clock.tickAsync(4_000);
    assertCompleteAnswer(t, first, longPrompt);
    t.deepEqual(
      fleet.enginePool.engines.map(engine => engine.callCounts.generate),
      [1, 1],
    );
    const second = fleet.sendRequest(0, { prompt: `x${longPrompt}` });
    await clock.tickAsync(100);
    fleet.getEngine('prefill-1').crash();
    await clock.tickAsync(6_000);
    assertCompleteAnswer(t, second, `x${longPrompt}`);
  },
);
