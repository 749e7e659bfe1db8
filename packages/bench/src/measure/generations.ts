/**
 * Measures the overhead of dispatching generations, with instances and fake
 * engines in this process.
 */
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
/**
 * Milliseconds after which the instances have polled the load of every engine.
 */
const loadPollWaitMs = 700;
/** Number of routing decisions per measurement. */
const decisionCount = 2_000;
const engineCounts = [6, 24, 120];

const sleep = (ms: number) =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

const engineOptions = { name: 'engine-1', slots: 512, decodeMs: 1 };

/** Cost of running all requests at the same time. */
interface RunCost {
  readonly wallTimeMs: number;
  readonly cpuTimeMs: number;
}

/** Runs all requests at the same time, checks their answers, returns the cost. */
const measureRunCost = async (
  run: (prompt: string) => Promise<string>,
): Promise<RunCost> => {
  const prompts = Array.from(
    { length: requestCount },
    (_, i) => `question ${i}`,
  );
  const startMs = performance.now();
  const cpuBefore = process.cpuUsage();
  const answers = await Promise.all(prompts.map(run));
  const { user, system } = process.cpuUsage(cpuBefore);
  const wallTimeMs = performance.now() - startMs;
  for (const [i, answer] of answers.entries()) {
    if (
      answer !==
      createCompletionText(prompts[i] ?? '', modelId, tokensPerRequest)
    ) {
      throw new Error(
        `answer ${i} differs from the expected text of ${tokensPerRequest} tokens`,
      );
    }
  }
  return { wallTimeMs, cpuTimeMs: (user + system) / 1_000 };
};

/** Returns a function that sends a prompt directly to the engine. */
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

/** Returns a function that sends a prompt through the dispatcher of an instance. */
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

/** Compares dispatched with direct runs; the first run of each warms up. */
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
  const dispatched = await measureRunCost(createDispatchedRun(fleet));
  fleet.stopBackgroundTasks();
  const addedMs = dispatched.cpuTimeMs - direct.cpuTimeMs;
  return [
    createMeasurement(
      'throughput of the path against direct',
      direct.wallTimeMs / dispatched.wallTimeMs,
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

/** Measures the heap per open stream while the engine generates no token. */
const measureStreamMemory = async (seed: number): Promise<Measurement> => {
  const fleet = new GenerationFleet({
    seed,
    engineOptions: [engineOptions],
    instanceCount: 1,
  });
  await sleep(loadPollWaitMs);
  const heapBefore = process.memoryUsage().heapUsed;
  const streamCount = 2_000;
  const stopController = new AbortController();
  fleet.getEngine('engine-1').faults.hang = true;
  for (let i = 0; i < streamCount; i += 1) {
    const request = fleet.createRequest({ prompt: `open ${i}` });
    collectAnswer(
      fleet
        .getInstance(0)
        .dispatcher.dispatchGeneration(request, stopController.signal),
    );
  }
  await sleep(loadPollWaitMs);
  const heapKilobytes =
    (process.memoryUsage().heapUsed - heapBefore) / 1_024 / streamCount;
  stopController.abort();
  fleet.stopBackgroundTasks();
  return createMeasurement(
    'heap an open stream, fake engine included',
    heapKilobytes,
    'KB',
  );
};

/** Measures the mean time of a routing decision among `count` engines. */
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
  const startMs = performance.now();
  for (let i = 0; i < decisionCount; i += 1)
    fleet.getInstance(0).router.placeRequest(request);
  const decisionMicroseconds =
    ((performance.now() - startMs) / decisionCount) * 1_000;
  fleet.stopBackgroundTasks();
  return createMeasurement(
    `routing decision among ${count} engines`,
    decisionMicroseconds,
    'us',
  );
};

/** Creates a measurement rounded to three significant digits. */
const createMeasurement = (
  name: string,
  value: number,
  unit: string,
): Measurement => ({
  name,
  value: Number(value.toPrecision(3)),
  unit,
});

/** Measures dispatch overhead, memory per stream and routing decisions. */
export const measureGenerations: MeasurementSuite = async ({ seed }) => {
  const measurements = await measureDispatchOverhead(seed);
  measurements.push(await measureStreamMemory(seed));
  for (const count of engineCounts) {
    measurements.push(await measureRoutingDecision(seed, count));
  }
  return measurements;
};
