/** Drills of generations on an in-process fleet under a fake clock. */
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

/** Injects a fault 150 ms after sending a request and checks that the answer is complete 15 s later. */
const injectFaultMidStream = async (
  seed: number,
  injectFault: (fleet: GenerationFleet) => void,
): Promise<DrillOutcome> => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed });
  try {
    await clock.tickAsync(600);
    const received = fleet.sendRequest(0, { prompt, maxTokens });
    await clock.tickAsync(150);
    const chunkCountBefore = received.chunkTexts.length;
    injectFault(fleet);
    await clock.tickAsync(15_000);
    const expectedText = createCompletionText(prompt, modelId, maxTokens);
    return {
      passed:
        chunkCountBefore > 0 && received.chunkTexts.join('') === expectedText,
      seen: `${chunkCountBefore} tokens before the fault, ${received.chunkTexts.length} at the end`,
    };
  } finally {
    fleet.stopBackgroundTasks();
    clock.uninstall();
  }
};

const runRandomSchedules = async (
  seed: number,
  scheduleCount: number,
): Promise<DrillOutcome> => {
  const schedules = fc.sample(scheduleArbitrary, {
    seed,
    numRuns: scheduleCount,
  });
  const violations: string[] = [];
  let answerCount = 0;
  let completeCount = 0;
  for (const steps of schedules) {
    const outcome = await runGenerationSchedule(steps, seed);
    violations.push(...outcome.violations);
    answerCount += outcome.answerCount;
    completeCount += outcome.completeCount;
  }
  const summary = `${scheduleCount} schedules, ${answerCount} answers, ${completeCount} complete`;
  return {
    passed: violations.length === 0,
    seen: [summary, ...violations].join('; '),
  };
};

const completeAnswerGuarantee =
  'the answer is complete, without duplicates and in order';

export const generationDrills: readonly Drill[] = [
  {
    fault: 'the connection stops delivering data in the middle of a stream',
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
    promise:
      'no token is lost, duplicated or reordered; a request refused as not run was not run',
    run: ({ seed, scheduleCount }) => runRandomSchedules(seed, scheduleCount),
  },
];
