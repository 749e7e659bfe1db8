/** Random fault schedules of generations, and the guarantees that must hold under them. */
import { install } from '@sinonjs/fake-timers';
import { createCompletionText } from '@medlarlever/stand-ins';
import fc from 'fast-check';

import { collectAnswer, GenerationFleet, modelId } from './generation-fleet.js';
import type { ReceivedAnswer } from './generation-fleet.js';

/** Time from each request to its deadline, in milliseconds. */
const requestDeadlineMs = 15_000;
/** Maximum time for which a resumed caller waits until its stream is found. */
const maxResumeMs = 12_000;

const faultKinds = [
  'silence',
  'crash',
  'restart',
  'disorder',
  'refuse',
  'accept',
  'export',
  'reset',
  'leave',
  'rejoin',
] as const;

/** One step of a schedule: a delay, then a request, a resumed stream or a fault. */
export interface ScheduleStep {
  /** Delay before the step, in milliseconds. */
  readonly delayMs: number;
  readonly kind: 'send' | (typeof faultKinds)[number];
  readonly engineIndex: number;
  readonly instanceIndex: number;
  readonly maxTokens: number;
}

/** Generates schedules of 4 to 16 steps for three engines and two instances. */
export const scheduleArbitrary: fc.Arbitrary<ScheduleStep[]> = fc.array(
  fc.record({
    delayMs: fc.integer({ min: 0, max: 700 }),
    kind: fc.oneof(
      fc.constant('send' as const),
      fc.constantFrom(...faultKinds),
    ),
    engineIndex: fc.nat(2),
    instanceIndex: fc.nat(1),
    maxTokens: fc.integer({ min: 1, max: 60 }),
  }),
  { minLength: 4, maxLength: 16 },
);

interface SentGeneration {
  /** Id of the request; `undefined` for a resumed stream. */
  readonly id: string | undefined;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly answer: ReceivedAnswer;
}

/** Counts of a schedule; `violations` is empty when every guarantee held. */
export interface GenerationScheduleResult {
  readonly answerCount: number;
  readonly completeCount: number;
  readonly failureCount: number;
  readonly violations: readonly string[];
}

const applyStep = (
  fleet: GenerationFleet,
  step: ScheduleStep,
  sentGenerations: SentGeneration[],
): void => {
  const engine =
    fleet.enginePool.engines[
      step.engineIndex % fleet.enginePool.engines.length
    ];
  if (engine === undefined) return;
  switch (step.kind) {
    case 'send': {
      const { instanceIndex, maxTokens } = step;
      const requestNumber =
        sentGenerations.filter(({ id }) => id !== undefined).length + 1;
      const prompt = `question ${requestNumber}`;
      const answer = fleet.sendRequest(instanceIndex, {
        prompt,
        maxTokens,
        deadlineMs: requestDeadlineMs,
      });
      sentGenerations.push({
        id: `r${requestNumber}`,
        prompt,
        maxTokens,
        answer,
      });
      return;
    }
    case 'rejoin': {
      const latest = sentGenerations.at(-1);
      if (latest?.answer.id === undefined) return;
      const { dispatcher } = fleet.getInstance(step.instanceIndex);
      const { id } = latest.answer;
      const { signal } = new AbortController();
      const items = dispatcher.resumeStream(id, 'desk', -1, signal);
      sentGenerations.push({
        ...latest,
        id: undefined,
        answer: collectAnswer(items),
      });
      return;
    }
    case 'silence':
      engine.silenceStreams();
      return;
    case 'crash':
      engine.crash();
      return;
    case 'restart':
      if (engine.simulator.hasCrashed) fleet.restartEngine(engine);
      return;
    case 'reset':
      engine.resetConnections();
      return;
    case 'export':
      for (const id of engine.simulator.activeGenerationIds)
        void engine.exportStream(id);
      return;
    case 'leave':
      fleet.enginePool.leavingEngines.add(engine.name);
      return;
    case 'disorder':
      engine.faults.reordersChunks = true;
      return;
    case 'refuse':
    case 'accept':
      engine.faults.refuse = step.kind === 'refuse';
  }
};

/**
 * Checks one answer: complete text if it ended, a prefix of the text if it
 * failed, and no text if it was refused as not run.
 */
const findViolation = ({
  prompt,
  maxTokens,
  answer,
}: SentGeneration): string | undefined => {
  const expectedText = createCompletionText(prompt, modelId, maxTokens);
  const text = answer.chunkTexts.join('');
  if (answer.endedAtMs === undefined) return `"${prompt}" never ended`;
  if (answer.endReason !== undefined) {
    return text === expectedText
      ? undefined
      : `"${prompt}" ended with the wrong text "${text}"`;
  }
  if (!expectedText.startsWith(text))
    return `"${prompt}" failed after the wrong text "${text}"`;
  const isRefusedAsNotRun = answer.failure?.executed === 'no';
  return isRefusedAsNotRun && text !== ''
    ? `"${prompt}" delivered text but was refused as not run`
    : undefined;
};

/** Finds requests that were refused as not run although an engine started them. */
const findFalseRefusals = (
  sentGenerations: readonly SentGeneration[],
  startedGenerationIds: readonly string[],
) =>
  sentGenerations.flatMap(({ id, answer }) => {
    if (id === undefined || answer.failure?.executed !== 'no') return [];
    const wasStarted = startedGenerationIds.some(startedId =>
      startedId.startsWith(`${id}-`),
    );
    return wasStarted ? [`${id} was refused as not run but was run`] : [];
  });

/** Runs a schedule under a fake clock until every request has passed its deadline, and checks the guarantees. */
export const runGenerationSchedule = async (
  steps: readonly ScheduleStep[],
  seed: number,
): Promise<GenerationScheduleResult> => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed, instanceCount: 2 });
  const sentGenerations: SentGeneration[] = [];
  const allEngines = new Set(fleet.enginePool.engines);
  try {
    await clock.tickAsync(600);
    for (const step of steps) {
      await clock.tickAsync(step.delayMs);
      applyStep(fleet, step, sentGenerations);
      for (const engine of fleet.enginePool.engines) allEngines.add(engine);
    }
    await clock.tickAsync(requestDeadlineMs + maxResumeMs);
  } finally {
    fleet.stopBackgroundTasks();
    clock.uninstall();
  }
  const startedGenerationIds = [...allEngines].flatMap(
    engine => engine.startedGenerationIds,
  );
  return {
    answerCount: sentGenerations.length,
    completeCount: sentGenerations.filter(
      ({ answer }) => answer.endReason !== undefined,
    ).length,
    failureCount: sentGenerations.filter(({ answer }) => answer.failure).length,
    violations: [
      ...sentGenerations.flatMap(generation => findViolation(generation) ?? []),
      ...findFalseRefusals(sentGenerations, startedGenerationIds),
    ],
  };
};
