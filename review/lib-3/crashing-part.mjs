/**
 * Part of a prompt that crashes each runner which begins to write an answer on it. Sound
 * prompts and those with that part come at three instances; a runner that has crashed is back
 * after two seconds, under its id.
 */
import { createAgent, send } from './deployment.mjs';
import {
  countBy,
  createPromptHeaders,
  createStreamConfiguration,
  settlingMs,
  threeInstances,
  zones,
} from './run-case.mjs';
import { createId, sleep } from './tools.mjs';

const runnerCount = 4;
const soundCallersPerInstance = 4;
const trafficMs = 40_000;
const backAfterMs = 2_000;
const crashingPart = 'badd0c';

/** Bounds of the rule. */
const decisiveCrash = 5;
const stabilityWindowMs = 3_000;
const maxLateArrivals = 3;

const documents = Array.from({ length: 200 }, (_, i) =>
  (0xd000 + i).toString(16),
);
const pickDocument = () =>
  documents[Math.floor(Math.random() * documents.length)];

/**
 * Without `hasTrouble` the part crashes nothing. `framing` is that of the runners' answers;
 * `furtherParts` the number of further parts of each prompt, after the one that may crash
 * runners.
 */
export const playCrashingPart = async (
  deployment,
  { hasTrouble, framing = 'chunked', furtherParts = 0 },
) => {
  let isRunning = true;
  const crashesAtMs = [];
  const crashingArrivalsAtMs = [];
  const crashingAttempts = new Set();
  deployment.onRunnerMessage = (runner, message) => {
    deployment.record.add(message.kind, {
      runner: runner.id,
      attempt: message.attempt,
    });
    if (message.kind === 'crash') crashesAtMs.push(message.atMs);
    if (message.kind === 'arrival' && crashingAttempts.has(message.attempt))
      crashingArrivalsAtMs.push(message.atMs);
  };
  deployment.onRunnerExit = async runner => {
    await sleep(backAfterMs);
    if (isRunning) await runner.start();
  };
  for (let i = 0; i < runnerCount; i += 1)
    await deployment.startRunner({
      id: `i-e${i}`,
      service: 'lm',
      zone: zones[i % zones.length],
      stage: 'decode',
      slots: 64,
      events: 6,
      firstMs: 60,
      framing,
      crashPart: hasTrouble ? crashingPart : undefined,
    });
  deployment.store.put('op', 'config', createStreamConfiguration());
  await deployment.startInstances(threeInstances);
  await sleep(settlingMs);

  const results = [];
  const ask = async (instance, isCrashing, agent) => {
    const id = createId();
    if (isCrashing) crashingAttempts.add(id);
    const parts = [
      ['a1', 800],
      [isCrashing ? crashingPart : pickDocument(), 400],
      ...Array.from({ length: furtherParts }, () => [pickDocument(), 40]),
      [id, 200],
    ];
    const result = await send({
      port: instance.port,
      method: 'POST',
      path: '/ask/article',
      headers: createPromptHeaders(id, parts),
      body: `question ${id}`,
      agent,
      timeoutMs: 5_500,
    });
    const { status, end, seal } = result;
    const answer = { id, instance: instance.name, isCrashing, status, end };
    results.push({ ...answer, isOwn: seal === undefined });
    deployment.record.add('answer', answer);
  };
  const call = async (instance, isCrashing, pauseMs) => {
    const agent = createAgent();
    while (isRunning) {
      await ask(instance, isCrashing, agent);
      await sleep(pauseMs);
    }
  };
  const callers = deployment.instances.flatMap(instance => [
    ...Array.from({ length: soundCallersPerInstance }, () =>
      call(instance, false, 300),
    ),
    call(instance, true, 1_200),
  ]);
  await sleep(trafficMs);
  isRunning = false;
  await Promise.all(callers);

  const decisiveMs = crashesAtMs[decisiveCrash - 1] ?? Infinity;
  const late = crashingArrivalsAtMs.filter(
    atMs => atMs > decisiveMs + stabilityWindowMs,
  );
  return {
    isBroken: late.length > maxLateArrivals,
    sent: results.length,
    answers: countBy(
      results,
      ({ isCrashing, status, end, isOwn }) =>
        `${isCrashing ? 'with the part' : 'sound'}: ${status ?? ''} ${end}${isOwn ? ' own' : ''}`,
    ),
    crashes: crashesAtMs.length,
    arrivalsWithThePart: crashingArrivalsAtMs.length,
    ofTheseLate: late.length,
  };
};
