/** Random schedules of faults against generations, and what must hold. */
import { install } from '@sinonjs/fake-timers';
import { createCompletionText } from '@medlarlever/stand-ins';
import fc from 'fast-check';

import { collectAnswer, GenerationFleet, modelId } from './generation-fleet.js';
import type { ReceivedAnswer } from './generation-fleet.js';

/** Of every request. */
const requestDeadlineMs = 15_000;
/** Longest time that a rejoin looks for its stream. */
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

/** One step of a schedule: some time passes, then something happens. */
export interface ScheduleStep {
  readonly delayMs: number;
  readonly kind: 'send' | (typeof faultKinds)[number];
  readonly engineIndex: number;
  readonly instanceIndex: number;
  readonly maxTokens: number;
}

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
  /** Id of the request; a rejoin has none. */
  readonly id: string | undefined;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly answer: ReceivedAnswer;
}

/** What a schedule showed; `faults` is empty when every promise held. */
export interface GenerationScheduleResult {
  readonly answerCount: number;
  readonly completeCount: number;
  readonly failureCount: number;
  readonly violations: readonly string[];
}

const applyStep = (
  fleet: GenerationFleet,
  step: ScheduleStep,
  sent: SentGeneration[],
): void => {
  const engine =
    fleet.enginePool.engines[
      step.engineIndex % fleet.enginePool.engines.length
    ];
  if (engine === undefined) return;
  switch (step.kind) {
    case 'send': {
      const { instanceIndex: instance, maxTokens: tokens } = step;
      const asked = sent.filter(({ id }) => id !== undefined).length + 1;
      const prompt = `question ${asked}`;
      const received = fleet.sendRequest(instance, {
        prompt,
        maxTokens: tokens,
        deadlineMs: requestDeadlineMs,
      });
      sent.push({
        id: `r${asked}`,
        prompt,
        maxTokens: tokens,
        answer: received,
      });
      return;
    }
    case 'rejoin': {
      const first = sent.at(-1);
      if (first?.answer.id === undefined) return;
      const { dispatcher } = fleet.getInstance(step.instanceIndex);
      const { id } = first.answer;
      const { signal } = new AbortController();
      const items = dispatcher.resumeStream(id, 'desk', -1, signal);
      sent.push({ ...first, id: undefined, answer: collectAnswer(items) });
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

/** Nothing lost, doubled or reordered; a prefix only when it failed. */
const findViolation = ({
  prompt,
  maxTokens: tokens,
  answer: received,
}: SentGeneration): string | undefined => {
  const whole = createCompletionText(prompt, modelId, tokens);
  const text = received.chunkTexts.join('');
  if (received.endedAtMs === undefined) return `"${prompt}" never ended`;
  if (received.endReason !== undefined) {
    return text === whole ? undefined : `"${prompt}" ended with "${text}"`;
  }
  if (!whole.startsWith(text)) return `"${prompt}" broke at "${text}"`;
  const unrun = received.failure?.executed === 'no';
  return unrun && text !== '' ? `"${prompt}" denies its run` : undefined;
};

/** Every refusal that says "not run" against the engines' own logs. */
const findFalseRefusals = (
  sent: readonly SentGeneration[],
  runs: readonly string[],
) =>
  sent.flatMap(({ id, answer: received }) => {
    if (id === undefined || received.failure?.executed !== 'no') return [];
    const ran = runs.some(run => run.startsWith(`${id}-`));
    return ran ? [`${id} was run`] : [];
  });

/** Runs a schedule to its end with the runtime's clock paused. */
export const runGenerationSchedule = async (
  steps: readonly ScheduleStep[],
  seed: number,
): Promise<GenerationScheduleResult> => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed, instanceCount: 2 });
  const sent: SentGeneration[] = [];
  const everyEngine = new Set(fleet.enginePool.engines);
  try {
    await clock.tickAsync(600);
    for (const step of steps) {
      await clock.tickAsync(step.delayMs);
      applyStep(fleet, step, sent);
      for (const engine of fleet.enginePool.engines) everyEngine.add(engine);
    }
    await clock.tickAsync(requestDeadlineMs + maxResumeMs);
  } finally {
    fleet.stopBackgroundTasks();
    clock.uninstall();
  }
  const runs = [...everyEngine].flatMap(engine => engine.startedGenerationIds);
  return {
    answerCount: sent.length,
    completeCount: sent.filter(
      ({ answer: received }) => received.endReason !== undefined,
    ).length,
    failureCount: sent.filter(({ answer: received }) => received.failure)
      .length,
    violations: [
      ...sent.flatMap(one => findViolation(one) ?? []),
      ...findFalseRefusals(sent, runs),
    ],
  };
};
