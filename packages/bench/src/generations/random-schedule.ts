/** Random schedules of faults against generations, and what must hold. */
import { install } from '@sinonjs/fake-timers';
import { createCompletionText } from '@medlarlever/stand-ins';
import fc from 'fast-check';

import { collect, GenerationFleet, model } from './generation-fleet.js';
import type { Received } from './generation-fleet.js';

/** Of every request. */
const deadlineMs = 15_000;
/** Longest time that a rejoin looks for its stream. */
const rejoinMs = 12_000;

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
  readonly afterMs: number;
  readonly kind: 'send' | (typeof faultKinds)[number];
  readonly engine: number;
  readonly instance: number;
  readonly tokens: number;
}

export const scheduleArbitrary: fc.Arbitrary<ScheduleStep[]> = fc.array(
  fc.record({
    afterMs: fc.integer({ min: 0, max: 700 }),
    kind: fc.oneof(
      fc.constant('send' as const),
      fc.constantFrom(...faultKinds),
    ),
    engine: fc.nat(2),
    instance: fc.nat(1),
    tokens: fc.integer({ min: 1, max: 60 }),
  }),
  { minLength: 4, maxLength: 16 },
);

interface Sent {
  /** Id of the request; a rejoin has none. */
  readonly id: string | undefined;
  readonly prompt: string;
  readonly tokens: number;
  readonly received: Received;
}

/** What a schedule showed; `faults` is empty when every promise held. */
export interface ScheduleOutcome {
  readonly answers: number;
  readonly whole: number;
  readonly refused: number;
  readonly faults: readonly string[];
}

const apply = (
  fleet: GenerationFleet,
  step: ScheduleStep,
  sent: Sent[],
): void => {
  const engine = fleet.pool.engines[step.engine % fleet.pool.engines.length];
  if (engine === undefined) return;
  switch (step.kind) {
    case 'send': {
      const { instance, tokens } = step;
      const asked = sent.filter(({ id }) => id !== undefined).length + 1;
      const prompt = `question ${asked}`;
      const received = fleet.send(instance, {
        prompt,
        maxTokens: tokens,
        deadlineMs,
      });
      sent.push({ id: `r${asked}`, prompt, tokens, received });
      return;
    }
    case 'rejoin': {
      const first = sent.at(-1);
      if (first?.received.id === undefined) return;
      const { dispatcher } = fleet.at(step.instance);
      const { id } = first.received;
      const { signal } = new AbortController();
      const items = dispatcher.resumeStream(id, 'desk', -1, signal);
      sent.push({ ...first, id: undefined, received: collect(items) });
      return;
    }
    case 'silence':
      engine.silenceStreams();
      return;
    case 'crash':
      engine.crash();
      return;
    case 'restart':
      if (engine.simulator.hasCrashed) fleet.restart(engine);
      return;
    case 'reset':
      engine.resetConnections();
      return;
    case 'export':
      for (const id of engine.simulator.activeGenerationIds)
        void engine.exportStream(id);
      return;
    case 'leave':
      fleet.pool.leaving.add(engine.name);
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
const faultOf = ({ prompt, tokens, received }: Sent): string | undefined => {
  const whole = createCompletionText(prompt, model, tokens);
  const text = received.texts.join('');
  if (received.endedMs === undefined) return `"${prompt}" never ended`;
  if (received.end !== undefined) {
    return text === whole ? undefined : `"${prompt}" ended with "${text}"`;
  }
  if (!whole.startsWith(text)) return `"${prompt}" broke at "${text}"`;
  const unrun = received.failure?.executed === 'no';
  return unrun && text !== '' ? `"${prompt}" denies its run` : undefined;
};

/** Every refusal that says "not run" against the engines' own logs. */
const falseRefusals = (sent: readonly Sent[], runs: readonly string[]) =>
  sent.flatMap(({ id, received }) => {
    if (id === undefined || received.failure?.executed !== 'no') return [];
    const ran = runs.some(run => run.startsWith(`${id}-`));
    return ran ? [`${id} was run`] : [];
  });

/** Runs a schedule to its end with the runtime's clock paused. */
export const runSchedule = async (
  steps: readonly ScheduleStep[],
  seed: number,
): Promise<ScheduleOutcome> => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed, instances: 2 });
  const sent: Sent[] = [];
  const everyEngine = new Set(fleet.pool.engines);
  try {
    await clock.tickAsync(600);
    for (const step of steps) {
      await clock.tickAsync(step.afterMs);
      apply(fleet, step, sent);
      for (const engine of fleet.pool.engines) everyEngine.add(engine);
    }
    await clock.tickAsync(deadlineMs + rejoinMs);
  } finally {
    fleet.stop();
    clock.uninstall();
  }
  const runs = [...everyEngine].flatMap(engine => engine.startedGenerationIds);
  return {
    answers: sent.length,
    whole: sent.filter(({ received }) => received.end !== undefined).length,
    refused: sent.filter(({ received }) => received.failure).length,
    faults: [
      ...sent.flatMap(one => faultOf(one) ?? []),
      ...falseRefusals(sent, runs),
    ],
  };
};
