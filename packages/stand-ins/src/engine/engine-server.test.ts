/** Tests the HTTP engine client against the simulated engine server. */
import { Deadline, HttpEngine } from '@medlarlever/core';
import type { GenerationTask, StreamItem } from '@medlarlever/core';
import test from 'ava';
import type { ExecutionContext } from 'ava';
import { request } from 'undici';

import { createCompletionText } from '../shared/deterministic-outputs.js';
import { listen } from '../shared/fake-server.js';

import { EngineSimulator } from './engine-simulator.js';
import type { EngineOptions } from './engine-settings.js';
import { createEngineServer } from './engine-server.js';

const modelId = { name: 'style-base', version: '1' };
const neverAbortedSignal = new AbortController().signal;

const startEngine = async (
  t: ExecutionContext,
  options: EngineOptions = {},
) => {
  const simulator = new EngineSimulator({
    decodeMs: 1,
    heartbeatMs: 100,
    ...options,
  });
  const app = createEngineServer(simulator);
  const address = await listen(app, '127.0.0.1', 0);
  const engine = new HttpEngine({
    name: 'e1',
    incarnation: 'e1#1',
    dataCenter: 'dc-1',
    address,
    settings: { heartbeatTimeoutMs: 1_500 },
  });
  t.teardown(async () => {
    simulator.faults.hang = false;
    simulator.crash();
    engine.resetConnections();
    await app.close();
  });
  const setFaults = async (faults: object) => {
    const { body } = await request(`http://${address}/faults`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(faults),
    });
    await body.dump();
  };
  return { simulator, app, engine, setFaults };
};

const createGeneration = (id: string, maxTokens: number): GenerationTask => ({
  id,
  model: modelId,
  prompt: 'À quelle heure?',
  maxTokens,
  priority: 5,
  deadline: Deadline.after(60_000),
});

const joinChunkTexts = (items: readonly StreamItem[]) =>
  items.map(item => (item.kind === 'chunk' ? item.chunk.text : '')).join('');

const collectItems = async (stream: AsyncIterable<StreamItem>) => {
  const items: StreamItem[] = [];
  for await (const item of stream) items.push(item);
  return items;
};

test('a stream on a silent connection fails and is resumed on a new connection', async t => {
  const { engine, simulator, setFaults } = await startEngine(t, {
    decodeMs: 20,
  });
  const completeText = createCompletionText(
    createGeneration('g', 40).prompt,
    modelId,
    40,
  );
  const items: StreamItem[] = [];
  for await (const item of engine.generate(
    createGeneration('g', 40),
    neverAbortedSignal,
  )) {
    items.push(item);
    if (item.kind === 'chunk' && item.chunk.index === 5) {
      await setFaults({ silence: true });
    }
  }
  t.like(items.at(-1), { kind: 'failure', failure: { executed: 'unknown' } });
  t.true((await engine.probeHealth(1_000)).isRight());
  engine.resetConnections();
  const lastChunk = items.findLast(item => item.kind === 'chunk');
  const lastIndex = lastChunk?.kind === 'chunk' ? lastChunk.chunk.index : -1;
  const remainingItems = await collectItems(
    engine.resumeStream('g', lastIndex, neverAbortedSignal),
  );
  t.is(joinChunkTexts(items) + joinChunkTexts(remainingItems), completeText);
  t.like(remainingItems.at(-1), { kind: 'end', end: { outputTokens: 40 } });
  t.deepEqual(simulator.startedGenerationIds, ['g']);
});

test('a continuation starts after the text that is already generated', async t => {
  const { engine } = await startEngine(t);
  const completeText = createCompletionText(
    createGeneration('g', 8).prompt,
    modelId,
    8,
  );
  const text = createCompletionText(
    createGeneration('g', 8).prompt,
    modelId,
    3,
  );
  const remainingItems = await collectItems(
    engine.generate(
      { ...createGeneration('g2', 8), continuation: { text, tokens: 3 } },
      neverAbortedSignal,
    ),
  );
  t.like(
    remainingItems.find(item => item.kind === 'chunk'),
    { chunk: { index: 3 } },
  );
  t.is(text + joinChunkTexts(remainingItems), completeText);
});

test('a failure states executed "no" only when the generation was not executed', async t => {
  const { engine, simulator, app, setFaults } = await startEngine(t);
  await setFaults({ refuse: true });
  const refusedItems = await collectItems(
    engine.generate(createGeneration('a', 2), neverAbortedSignal),
  );
  t.like(refusedItems, [
    { kind: 'failure', failure: { code: 'target_rejected', executed: 'no' } },
  ]);
  await setFaults({ refuse: false, slowFactor: 1_000 });
  const stream = engine.generate(
    createGeneration('b', 100),
    neverAbortedSignal,
  );
  const interrupted = collectItems(stream);
  while (simulator.startedGenerationIds.length === 0)
    await engine.getLoadReport();
  await app.close();
  t.like((await interrupted).at(-1), { failure: { executed: 'unknown' } });
  const afterClose = await collectItems(
    engine.generate(createGeneration('c', 2), neverAbortedSignal),
  );
  t.like(afterClose, [{ kind: 'failure', failure: { executed: 'no' } }]);
  t.deepEqual(simulator.startedGenerationIds, ['b']);
});

test('orders, their statuses and the load report are served over HTTP', async t => {
  const { engine, simulator } = await startEngine(t, { roleChangeMs: 50 });
  const role = 'prefill' as const;
  const action = { kind: 'role' as const, role };
  const running = await engine.sendCommand({ id: 'o1', fencing: 4, action });
  t.like(running.extract(), { state: 'running' });
  const stale = await engine.sendCommand({ id: 'o2', fencing: 3, action });
  t.like(stale.extract(), { code: 'order_conflict', executed: 'no' });
  while (simulator.commandExecutor.isBusy) await engine.getCommandStatus('o1');
  t.like((await engine.getCommandStatus('o1')).extract(), { state: 'done' });
  t.like((await engine.getCommandStatus('none')).extract(), {
    code: 'not_found',
  });
  t.true((await engine.getLoadReport()).isRight());
});
