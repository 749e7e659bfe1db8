/** Figures of the path of generations, in this process with fake engines. */
import { Deadline } from '@medlarlever/core';
import { createCompletionText } from '@medlarlever/stand-ins';

import {
  collect,
  GenerationFleet,
  model,
} from '../generations/generation-fleet.js';

import type { Measurement, MeasureSuite } from './measurement.js';

const requests = 300;
const tokens = 100;
const pollMs = 700;
const decisions = 2_000;
const engineCounts = [6, 24, 120];

const pause = (ms: number) =>
  new Promise(resolve => {
    setTimeout(resolve, ms);
  });

const engine = { name: 'engine-1', slots: 512, decodeMs: 1 };

interface Cost {
  readonly wallMs: number;
  readonly cpuMs: number;
}

/** Time and processor time of a run of all requests at once. */
const costOf = async (
  run: (prompt: string) => Promise<string>,
): Promise<Cost> => {
  const prompts = Array.from({ length: requests }, (_, i) => `question ${i}`);
  const startedMs = performance.now();
  const before = process.cpuUsage();
  const answers = await Promise.all(prompts.map(run));
  const { user, system } = process.cpuUsage(before);
  const wallMs = performance.now() - startedMs;
  for (const [i, answer] of answers.entries()) {
    if (answer !== createCompletionText(prompts[i] ?? '', model, tokens)) {
      throw new Error(`answer ${i} is not whole`);
    }
  }
  return { wallMs, cpuMs: (user + system) / 1_000 };
};

const directly = (fleet: GenerationFleet) => async (prompt: string) => {
  const request = fleet.request({ prompt, maxTokens: tokens });
  const generation = { ...request, priority: 5 };
  const { signal } = new AbortController();
  let text = '';
  for await (const item of fleet
    .engine('engine-1')
    .generate(generation, signal))
    if (item.kind === 'chunk') text += item.chunk.text;
  return text;
};

const throughPath = (fleet: GenerationFleet) => async (prompt: string) => {
  const request = fleet.request({ prompt, maxTokens: tokens });
  const { signal } = new AbortController();
  let text = '';
  for await (const item of fleet
    .at(0)
    .dispatcher.dispatchGeneration(request, signal))
    if (item.kind === 'chunk') text += item.chunk.text;
  return text;
};

const measurePath = async (seed: number): Promise<Measurement[]> => {
  const fleet = new GenerationFleet({ seed, engines: [engine], instances: 1 });
  await pause(pollMs);
  await costOf(directly(fleet));
  await costOf(throughPath(fleet));
  const direct = await costOf(directly(fleet));
  const path = await costOf(throughPath(fleet));
  fleet.stop();
  const addedMs = path.cpuMs - direct.cpuMs;
  return [
    row(
      'throughput of the path against direct',
      direct.wallMs / path.wallMs,
      'ratio',
    ),
    row('added processor time a request', addedMs / requests, 'ms'),
    row(
      'added processor time a token',
      (addedMs / requests / tokens) * 1_000,
      'us',
    ),
  ];
};

const measureMemory = async (seed: number): Promise<Measurement> => {
  const fleet = new GenerationFleet({ seed, engines: [engine], instances: 1 });
  await pause(pollMs);
  const before = process.memoryUsage().heapUsed;
  const streams = 2_000;
  const stop = new AbortController();
  fleet.engine('engine-1').faults.hang = true;
  for (let i = 0; i < streams; i += 1) {
    const request = fleet.request({ prompt: `open ${i}` });
    collect(fleet.at(0).dispatcher.dispatchGeneration(request, stop.signal));
  }
  await pause(pollMs);
  const kb = (process.memoryUsage().heapUsed - before) / 1_024 / streams;
  stop.abort();
  fleet.stop();
  return row('heap an open stream, fake engine included', kb, 'KB');
};

const measureDecision = async (
  seed: number,
  count: number,
): Promise<Measurement> => {
  const engines = Array.from({ length: count }, (_, i) => ({ name: `e${i}` }));
  const fleet = new GenerationFleet({ seed, engines, instances: 1 });
  await pause(pollMs);
  const request = {
    ...{
      model,
      prefixBlocks: [],
      promptTokens: 500,
      outputTokens: 100,
      priority: 5,
    },
    deadline: Deadline.after(60_000),
  };
  const startedMs = performance.now();
  for (let i = 0; i < decisions; i += 1)
    fleet.at(0).router.placeRequest(request);
  const us = ((performance.now() - startedMs) / decisions) * 1_000;
  fleet.stop();
  return row(`routing decision among ${count} engines`, us, 'us');
};

const row = (name: string, value: number, unit: string): Measurement => ({
  name,
  value: Number(value.toPrecision(3)),
  unit,
});

export const measureGenerations: MeasureSuite = async ({ seed }) => {
  const rows = await measurePath(seed);
  rows.push(await measureMemory(seed));
  for (const count of engineCounts) {
    rows.push(await measureDecision(seed, count));
  }
  return rows;
};
