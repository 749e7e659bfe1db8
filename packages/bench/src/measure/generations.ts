/** Figures of the path of generations, in this process with fake engines. */
import { Deadline } from '@medlarlever/core';
import { createCompletionText } from '@medlarlever/stand-ins';

import {
  collectAnswer,
  GenerationFleet,
  modelId,
} from '../generations/generation-fleet.js';

import type { Measurement, MeasurementSuite } from './measurement.js';

const requestCount = 300;
const tokensPerRequest = 100;
const loadPollWaitMs = 700;
const decisionCount = 2_000;
const engineCounts = [6, 24, 120];

const sleep = (ms: number) =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

const engineOptions = { name: 'engine-1', slots: 512, decodeMs: 1 };

interface RunCost {
  readonly wallTimeMs: number;
  readonly cpuTimeMs: number;
}

/** Time and processor time of a run of all requests at once. */
const measureRunCost = async (
  run: (prompt: string) => Promise<string>,
): Promise<RunCost> => {
  const prompts = Array.from(
    { length: requestCount },
    (_, i) => `question ${i}`,
  );
  const startedMs = performance.now();
  const before = process.cpuUsage();
  const answers = await Promise.all(prompts.map(run));
  const { user, system } = process.cpuUsage(before);
  const wallMs = performance.now() - startedMs;
  for (const [i, answer] of answers.entries()) {
    if (
      answer !==
      createCompletionText(prompts[i] ?? '', modelId, tokensPerRequest)
    ) {
      throw new Error(`answer ${i} is not whole`);
    }
  }
  return { wallTimeMs: wallMs, cpuTimeMs: (user + system) / 1_000 };
};

const createDirectRun = (fleet: GenerationFleet) => async (prompt: string) => {
  const request = fleet.createRequest({ prompt, maxTokens: tokensPerRequest });
  const generation = { ...request, priority: 5 };
  const { signal } = new AbortController();
  let text = '';
  for await (const item of fleet
    .getEngine('engine-1')
    .generate(generation, signal))
    if (item.kind === 'chunk') text += item.chunk.text;
  return text;
};

const createDispatchedRun =
  (fleet: GenerationFleet) => async (prompt: string) => {
    const request = fleet.createRequest({
      prompt,
      maxTokens: tokensPerRequest,
    });
    const { signal } = new AbortController();
    let text = '';
    for await (const item of fleet
      .getInstance(0)
      .dispatcher.dispatchGeneration(request, signal))
      if (item.kind === 'chunk') text += item.chunk.text;
    return text;
  };

const measureDispatchOverhead = async (
  seed: number,
): Promise<Measurement[]> => {
  const fleet = new GenerationFleet({
    seed,
    engineOptions: [engineOptions],
    instanceCount: 1,
  });
  await sleep(loadPollWaitMs);
  await measureRunCost(createDirectRun(fleet));
  await measureRunCost(createDispatchedRun(fleet));
  const direct = await measureRunCost(createDirectRun(fleet));
  const path = await measureRunCost(createDispatchedRun(fleet));
  fleet.stopBackgroundTasks();
  const addedMs = path.cpuTimeMs - direct.cpuTimeMs;
  return [
    createMeasurement(
      'throughput of the path against direct',
      direct.wallTimeMs / path.wallTimeMs,
      'ratio',
    ),
    createMeasurement(
      'added processor time a request',
      addedMs / requestCount,
      'ms',
    ),
    createMeasurement(
      'added processor time a token',
      (addedMs / requestCount / tokensPerRequest) * 1_000,
      'us',
    ),
  ];
};

const measureStreamMemory = async (seed: number): Promise<Measurement> => {
  const fleet = new GenerationFleet({
    seed,
    engineOptions: [engineOptions],
    instanceCount: 1,
  });
  await sleep(loadPollWaitMs);
  const before = process.memoryUsage().heapUsed;
  const streams = 2_000;
  const stop = new AbortController();
  fleet.getEngine('engine-1').faults.hang = true;
  for (let i = 0; i < streams; i += 1) {
    const request = fleet.createRequest({ prompt: `open ${i}` });
    collectAnswer(
      fleet.getInstance(0).dispatcher.dispatchGeneration(request, stop.signal),
    );
  }
  await sleep(loadPollWaitMs);
  const kb = (process.memoryUsage().heapUsed - before) / 1_024 / streams;
  stop.abort();
  fleet.stopBackgroundTasks();
  return createMeasurement(
    'heap an open stream, fake engine included',
    kb,
    'KB',
  );
};

const measureRoutingDecision = async (
  seed: number,
  count: number,
): Promise<Measurement> => {
  const engines = Array.from({ length: count }, (_, i) => ({ name: `e${i}` }));
  const fleet = new GenerationFleet({
    seed,
    engineOptions: engines,
    instanceCount: 1,
  });
  await sleep(loadPollWaitMs);
  const request = {
    ...{
      model: modelId,
      prefixBlocks: [],
      promptTokens: 500,
      outputTokens: 100,
      priority: 5,
    },
    deadline: Deadline.after(60_000),
  };
  const startedMs = performance.now();
  for (let i = 0; i < decisionCount; i += 1)
    fleet.getInstance(0).router.placeRequest(request);
  const us = ((performance.now() - startedMs) / decisionCount) * 1_000;
  fleet.stopBackgroundTasks();
  return createMeasurement(`routing decision among ${count} engines`, us, 'us');
};

const createMeasurement = (
  name: string,
  value: number,
  unit: string,
): Measurement => ({
  name,
  value: Number(value.toPrecision(3)),
  unit,
});

export const measureGenerations: MeasurementSuite = async ({ seed }) => {
  const rows = await measureDispatchOverhead(seed);
  rows.push(await measureStreamMemory(seed));
  for (const count of engineCounts) {
    rows.push(await measureRoutingDecision(seed, count));
  }
  return rows;
};
