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
  const model = new EngineSimulator({
    decodeMs: 1,
    heartbeatMs: 100,
    ...options,
  });
  const app = createEngineServer(model);
  const address = await listen(app, '127.0.0.1', 0);
  const engine = new HttpEngine({
    name: 'e1',
    incarnation: 'e1#1',
    dataCenter: 'dc-1',
    address,
    settings: { heartbeatTimeoutMs: 1_500 },
  });
  t.teardown(async () => {
    model.faults.hang = false;
    model.crash();
    engine.resetConnections();
    await app.close();
  });
  const fault = async (faults: object) => {
    const { body } = await request(`http://${address}/faults`, {
      method: 'POST',
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(faults),
    });
    await body.dump();
  };
  return { model, app, engine, fault };
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

test('a stream on a silent connection ends and is resumed on a new one', async t => {
  const { engine, model, fault } = await startEngine(t, { decodeMs: 20 });
  const whole = createCompletionText(
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
      await fault({ silence: true });
    }
  }
  t.like(items.at(-1), { kind: 'failure', failure: { executed: 'unknown' } });
  t.true((await engine.probeHealth(1_000)).isRight());
  engine.resetConnections();
  const last = items.findLast(item => item.kind === 'chunk');
  const after = last?.kind === 'chunk' ? last.chunk.index : -1;
  const rest = await collectItems(
    engine.resumeStream('g', after, neverAbortedSignal),
  );
  t.is(joinChunkTexts(items) + joinChunkTexts(rest), whole);
  t.like(rest.at(-1), { kind: 'end', end: { outputTokens: 40 } });
  t.deepEqual(model.startedGenerationIds, ['g']);
});

test('a continuation starts where the text so far ends', async t => {
  const { engine } = await startEngine(t);
  const whole = createCompletionText(
    createGeneration('g', 8).prompt,
    modelId,
    8,
  );
  const text = createCompletionText(
    createGeneration('g', 8).prompt,
    modelId,
    3,
  );
  const rest = await collectItems(
    engine.generate(
      { ...createGeneration('g2', 8), continuation: { text, tokens: 3 } },
      neverAbortedSignal,
    ),
  );
  t.like(
    rest.find(item => item.kind === 'chunk'),
    { chunk: { index: 3 } },
  );
  t.is(text + joinChunkTexts(rest), whole);
});

test('"not run" is said only when it is true', async t => {
  const { engine, model, app, fault } = await startEngine(t);
  await fault({ refuse: true });
  const refused = await collectItems(
    engine.generate(createGeneration('a', 2), neverAbortedSignal),
  );
  t.like(refused, [
    { kind: 'failure', failure: { code: 'target_rejected', executed: 'no' } },
  ]);
  await fault({ refuse: false, slowFactor: 1_000 });
  const stream = engine.generate(
    createGeneration('b', 100),
    neverAbortedSignal,
  );
  const broken = collectItems(stream);
  while (model.startedGenerationIds.length === 0) await engine.getLoadReport();
  await app.close();
  t.like((await broken).at(-1), { failure: { executed: 'unknown' } });
  const gone = await collectItems(
    engine.generate(createGeneration('c', 2), neverAbortedSignal),
  );
  t.like(gone, [{ kind: 'failure', failure: { executed: 'no' } }]);
  t.deepEqual(model.startedGenerationIds, ['b']);
});

test('orders and load come over as they are', async t => {
  const { engine, model } = await startEngine(t, { roleChangeMs: 50 });
  const role = 'prefill' as const;
  const action = { kind: 'role' as const, role };
  const running = await engine.sendCommand({ id: 'o1', fencing: 4, action });
  t.like(running.extract(), { state: 'running' });
  const stale = await engine.sendCommand({ id: 'o2', fencing: 3, action });
  t.like(stale.extract(), { code: 'order_conflict', executed: 'no' });
  while (model.commandExecutor.isBusy) await engine.getCommandStatus('o1');
  t.like((await engine.getCommandStatus('o1')).extract(), { state: 'done' });
  t.like((await engine.getCommandStatus('none')).extract(), {
    code: 'not_found',
  });
  t.true((await engine.getLoadReport()).isRight());
});
