import { Deadline } from '@medlarlever/core';
import type { GenerationTask, StreamItem } from '@medlarlever/core';
import fakeTimers from '@sinonjs/fake-timers';
import test from 'ava';

import { createCompletionText } from '../shared/deterministic-outputs.js';

import { FakeEngine } from './fake-engine.js';

const modelId = { name: 'style-base', version: '1' };

const createGeneration = (
  change: Partial<GenerationTask> = {},
): GenerationTask => ({
  id: 'g1',
  model: modelId,
  prompt: 'Is "Bogota" right?',
  maxTokens: 12,
  priority: 5,
  deadline: Deadline.after(60_000),
  ...change,
});

const collectItems = async (stream: AsyncIterable<StreamItem>) => {
  const items: StreamItem[] = [];
  for await (const item of stream) items.push(item);
  return items;
};

const joinChunkTexts = (items: readonly StreamItem[]) =>
  items.map(item => (item.kind === 'chunk' ? item.chunk.text : '')).join('');

const neverAbortedSignal = new AbortController().signal;

test.serial(
  'a stream can be left, resumed and continued elsewhere',
  async t => {
    const clock = fakeTimers.install();
    t.teardown(() => {
      clock.uninstall();
    });
    const neighbours = new Map<string, FakeEngine>();
    const first = new FakeEngine({ name: 'e1', enginesByAddress: neighbours });
    const second = new FakeEngine({ name: 'e2', enginesByAddress: neighbours });
    const whole = createCompletionText(createGeneration().prompt, modelId, 12);

    const left = collectItems(
      first.generate(createGeneration(), neverAbortedSignal),
    );
    await clock.tickAsync(100);
    first.silenceStreams();
    await clock.tickAsync(40);
    first.resetConnections();
    const start = await left;
    t.like(start.at(-1), { kind: 'failure', failure: { executed: 'unknown' } });
    const seen = start.filter(item => item.kind === 'chunk').length;

    const resumed = collectItems(
      first.resumeStream('g1', seen - 1, neverAbortedSignal),
    );
    await clock.tickAsync(20);
    await first.exportStream('g1');
    const middle = await resumed;
    t.like(middle.at(-1), { kind: 'end', end: { reason: 'moved' } });

    const text = joinChunkTexts(start) + joinChunkTexts(middle);
    const tokens = start.concat(middle).filter(i => i.kind === 'chunk').length;
    const rest = collectItems(
      second.generate(
        createGeneration({
          continuation: { text, tokens },
          cacheFrom: { address: first.address, id: 'g1' },
        }),
        neverAbortedSignal,
      ),
    );
    await clock.tickAsync(5_000);
    t.is(text + joinChunkTexts(await rest), whole);
    t.deepEqual(first.startedGenerationIds, ['g1']);
  },
);

test.serial('an order with an old fencing number has no effect', async t => {
  const clock = fakeTimers.install();
  t.teardown(() => {
    clock.uninstall();
  });
  const order = (id: string, fencing: number) => ({
    id,
    fencing,
    action: { kind: 'role' as const, role: 'decode' as const },
  });
  const strict = new FakeEngine();
  t.true((await strict.sendCommand(order('a', 2))).isRight());
  t.like((await strict.sendCommand(order('b', 3))).extract(), {
    code: 'order_conflict',
    executed: 'no',
  });
  await clock.tickAsync(4_000);
  t.like((await strict.getCommandStatus('a')).extract(), { state: 'done' });
  t.true((await strict.sendCommand(order('c', 1))).isLeft());
  t.is(strict.simulator.commandExecutor.conflictCount, 0);

  const lax = new FakeEngine({ checksFencing: false });
  await lax.sendCommand(order('a', 2));
  t.true((await lax.sendCommand(order('b', 1))).isRight());
  t.is(lax.simulator.commandExecutor.conflictCount, 1);
});

test.serial('the cache repeats nothing and its events come late', async t => {
  const clock = fakeTimers.install();
  t.teardown(() => {
    clock.uninstall();
  });
  const engine = new FakeEngine({ cacheLagMs: 500 });
  const prompt = 'x'.repeat(4 * 4_096 * 2);
  const run = async (id: string) => {
    const startMs = Date.now();
    const items = engine.generate(
      createGeneration({ id, prompt, maxTokens: 1 }),
      neverAbortedSignal,
    );
    const done = collectItems(items).then(() => Date.now() - startMs);
    await clock.tickAsync(2_000);
    return done;
  };
  const cold = run('a');
  const early = await engine.listCacheEvents(0);
  const coldMs = await cold;
  const warmMs = await run('b');
  t.deepEqual(early.extract(), []);
  t.is((await engine.listCacheEvents(0)).orDefault([])[0]?.pieces.length, 2);
  t.true(coldMs > warmMs + 300, `${coldMs} ${warmMs}`);
});
