/** Drills of generations, in process and under a paused clock. */
import { install } from '@sinonjs/fake-timers';
import { createCompletionText } from '@medlarlever/stand-ins';
import fc from 'fast-check';

import {
  GenerationFleet,
  modelId,
} from '../../generations/generation-fleet.js';
import {
  runGenerationSchedule,
  scheduleArbitrary,
} from '../../generations/random-schedule.js';
import type { Drill, DrillOutcome } from '../drill.js';

const prompt = 'Which toponym is right?';
const maxTokens = 40;

/** Brings a fault about in the middle of one answer. */
const injectFaultMidStream = async (
  seed: number,
  fault: (fleet: GenerationFleet) => void,
): Promise<DrillOutcome> => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed });
  try {
    await clock.tickAsync(600);
    const received = fleet.sendRequest(0, { prompt, maxTokens });
    await clock.tickAsync(150);
    const before = received.chunkTexts.length;
    fault(fleet);
    await clock.tickAsync(15_000);
    const whole = createCompletionText(prompt, modelId, maxTokens);
    return {
      passed: before > 0 && received.chunkTexts.join('') === whole,
      seen: `${before} tokens before, ${received.chunkTexts.length} at the end`,
    };
  } finally {
    fleet.stopBackgroundTasks();
    clock.uninstall();
  }
};

const runRandomSchedules = async (
  seed: number,
  runs: number,
): Promise<DrillOutcome> => {
  const schedules = fc.sample(scheduleArbitrary, { seed, numRuns: runs });
  const faults: string[] = [];
  let answers = 0;
  let whole = 0;
  for (const steps of schedules) {
    const outcome = await runGenerationSchedule(steps, seed);
    faults.push(...outcome.violations);
    answers += outcome.answerCount;
    whole += outcome.completeCount;
  }
  const seen = `${runs} schedules, ${answers} answers, ${whole} whole`;
  return {
    passed: faults.length === 0,
    seen: [seen, ...faults].join('; '),
  };
};

const completeAnswerGuarantee = 'the answer is whole, once and in order';

export const generationDrills: readonly Drill[] = [
  {
    fault: 'the connection goes silent in the middle of a stream',
    promise: completeAnswerGuarantee,
    run: ({ seed }) =>
      injectFaultMidStream(seed, fleet =>
        fleet.findBusyEngine()?.silenceStreams(),
      ),
  },
  {
    fault: 'the engine crashes in the middle of a stream',
    promise: completeAnswerGuarantee,
    run: ({ seed }) =>
      injectFaultMidStream(seed, fleet => fleet.findBusyEngine()?.crash()),
  },
  {
    fault: 'all connections of the engine are closed',
    promise: completeAnswerGuarantee,
    run: ({ seed }) =>
      injectFaultMidStream(seed, fleet =>
        fleet.findBusyEngine()?.resetConnections(),
      ),
  },
  {
    fault: 'the engine exports the stream',
    promise: completeAnswerGuarantee,
    run: ({ seed }) =>
      injectFaultMidStream(seed, fleet => {
        const engine = fleet.findBusyEngine();
        void engine?.exportStream(
          engine.simulator.activeGenerationIds[0] ?? '',
        );
      }),
  },
  {
    fault: 'random faults of engines, connections and callers',
    promise: 'no token lost, doubled or reordered; "not run" is true',
    run: ({ seed, scheduleCount: runs }) => runRandomSchedules(seed, runs),
  },
];
