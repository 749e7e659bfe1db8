/** Drills of generations, in process and under a paused clock. */
import { install } from '@sinonjs/fake-timers';
import { createCompletionText } from '@medlarlever/stand-ins';
import fc from 'fast-check';

import { GenerationFleet, model } from '../../generations/generation-fleet.js';
import {
  runSchedule,
  scheduleArbitrary,
} from '../../generations/random-schedule.js';
import type { Drill, DrillOutcome } from '../drill.js';

const prompt = 'Which toponym is right?';
const maxTokens = 40;

/** Brings a fault about in the middle of one answer. */
const breakOne = async (
  seed: number,
  fault: (fleet: GenerationFleet) => void,
): Promise<DrillOutcome> => {
  const clock = install({ now: 1_000_000 });
  const fleet = new GenerationFleet({ seed });
  try {
    await clock.tickAsync(600);
    const received = fleet.send(0, { prompt, maxTokens });
    await clock.tickAsync(150);
    const before = received.texts.length;
    fault(fleet);
    await clock.tickAsync(15_000);
    const whole = createCompletionText(prompt, model, maxTokens);
    return {
      passed: before > 0 && received.texts.join('') === whole,
      seen: `${before} tokens before, ${received.texts.length} at the end`,
    };
  } finally {
    fleet.stop();
    clock.uninstall();
  }
};

const runSchedules = async (
  seed: number,
  runs: number,
): Promise<DrillOutcome> => {
  const schedules = fc.sample(scheduleArbitrary, { seed, numRuns: runs });
  const faults: string[] = [];
  let answers = 0;
  let whole = 0;
  for (const steps of schedules) {
    const outcome = await runSchedule(steps, seed);
    faults.push(...outcome.faults);
    answers += outcome.answers;
    whole += outcome.whole;
  }
  const seen = `${runs} schedules, ${answers} answers, ${whole} whole`;
  return {
    passed: faults.length === 0,
    seen: [seen, ...faults].join('; '),
  };
};

const wholePromise = 'the answer is whole, once and in order';

export const generationDrills: readonly Drill[] = [
  {
    fault: 'the connection goes silent in the middle of a stream',
    promise: wholePromise,
    run: ({ seed }) =>
      breakOne(seed, fleet => fleet.busyEngine()?.silenceStreams()),
  },
  {
    fault: 'the engine crashes in the middle of a stream',
    promise: wholePromise,
    run: ({ seed }) => breakOne(seed, fleet => fleet.busyEngine()?.crash()),
  },
  {
    fault: 'all connections of the engine are closed',
    promise: wholePromise,
    run: ({ seed }) =>
      breakOne(seed, fleet => fleet.busyEngine()?.resetConnections()),
  },
  {
    fault: 'the engine exports the stream',
    promise: wholePromise,
    run: ({ seed }) =>
      breakOne(seed, fleet => {
        const engine = fleet.busyEngine();
        void engine?.exportStream(
          engine.simulator.activeGenerationIds[0] ?? '',
        );
      }),
  },
  {
    fault: 'random faults of engines, connections and callers',
    promise: 'no token lost, doubled or reordered; "not run" is true',
    run: ({ seed, runs }) => runSchedules(seed, runs),
  },
];
