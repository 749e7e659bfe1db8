/** Tests the in-process fake engine with a fake clock. */
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
  'a stream is resumed after its connection fails and continued on another engine',
  async t => {
    const clock = fakeTimers.install();
    t.teardown(() => {
      clock.uninstall();
    });
    const enginesByAddress = new Map<string, FakeEngine>();
    const firstEngine = new FakeEngine({ name: 'e1', enginesByAddress });
    const secondEngine = new FakeEngine({ name: 'e2', enginesByAddress });
    const completeText = createCompletionText(
      createGeneration().prompt,
      modelId,
      12,
    );

    const firstItems = collectItems(
      firstEngine.generate(createGeneration(), neverAbortedSignal),
    );
    await clock.tickAsync(100);
    firstEngine.silenceStreams();
    await clock.tickAsync(40);
    firstEngine.resetConnections();
    const itemsBeforeReset = await firstItems;
    t.like(itemsBeforeReset.at(-1), {
      kind: 'failure',
      failure: { executed: 'unknown' },
    });
    const receivedChunkCount = itemsBeforeReset.filter(
      item => item.kind === 'chunk',
    ).length;

    const resumedItems = collectItems(
      firstEngine.resumeStream(
        'g1',
        receivedChunkCount - 1,
        neverAbortedSignal,
      ),
    );
    await clock.tickAsync(20);
    await firstEngine.exportStream('g1');
    const itemsBeforeExport = await resumedItems;
    t.like(itemsBeforeExport.at(-1), { kind: 'end', end: { reason: 'moved' } });

    const text =
      joinChunkTexts(itemsBeforeReset) + joinChunkTexts(itemsBeforeExport);
    const tokens = itemsBeforeReset
      .concat(itemsBeforeExport)
      .filter(i => i.kind === 'chunk').length;
    const continuedItems = collectItems(
      secondEngine.generate(
        createGeneration({
          continuation: { text, tokens },
          cacheFrom: { address: firstEngine.address, id: 'g1' },
        }),
        neverAbortedSignal,
      ),
    );
    await clock.tickAsync(5_000);
    t.is(text + joinChunkTexts(await continuedItems), completeText);
    t.deepEqual(firstEngine.startedGenerationIds, ['g1']);
  },
);

test.serial(
  'an engine that checks fencing refuses concurrent commands and old fencing tokens',
  async t => {
    const clock = fakeTimers.install();
    t.teardown(() => {
      clock.uninstall();
    });
    const order = (id: string, fencing: number) => ({
      id,
      fencing,
      action: { kind: 'role' as const, role: 'decode' as const },
    });
    const fencingEngine = new FakeEngine();
    t.true((await fencingEngine.sendCommand(order('a', 2))).isRight());
    t.like((await fencingEngine.sendCommand(order('b', 3))).extract(), {
      code: 'order_conflict',
      executed: 'no',
    });
    await clock.tickAsync(4_000);
    t.like((await fencingEngine.getCommandStatus('a')).extract(), {
      state: 'done',
    });
    t.true((await fencingEngine.sendCommand(order('c', 1))).isLeft());
    t.is(fencingEngine.simulator.commandExecutor.conflictCount, 0);

    const nonFencingEngine = new FakeEngine({ checksFencing: false });
    await nonFencingEngine.sendCommand(order('a', 2));
    t.true((await nonFencingEngine.sendCommand(order('b', 1))).isRight());
    t.is(nonFencingEngine.simulator.commandExecutor.conflictCount, 1);
  },
);

test.serial(
  'a cached prefix shortens the prefill and cache events are delayed',
  async t => {
    const clock = fakeTimers.install();
    t.teardown(() => {
      clock.uninstall();
    });
    const engine = new FakeEngine({ cacheLagMs: 500 });
    const prompt = 'x'.repeat(4 * 4_096 * 2);
    const measureGeneration = async (id: string) => {
      const startMs = Date.now();
      const items = engine.generate(
        createGeneration({ id, prompt, maxTokens: 1 }),
        neverAbortedSignal,
      );
      const finished = collectItems(items).then(() => Date.now() - startMs);
      await clock.tickAsync(2_000);
      return finished;
    };
    const coldRun = measureGeneration('a');
    const eventsBeforeLag = await engine.listCacheEvents(0);
    const coldMs = await coldRun;
    const warmMs = await measureGeneration('b');
    t.deepEqual(eventsBeforeLag.extract(), []);
    t.is((await engine.listCacheEvents(0)).orDefault([])[0]?.pieces.length, 2);
    t.true(coldMs > warmMs + 300, `${coldMs} ${warmMs}`);
  },
);
