/** Tests of trace replays against the performance targets, and of trace files. */
import { readFile } from 'node:fs/promises';

import test from 'ava';

import { computeFigures } from './figures.js';
import type { ReplayFigures } from './figures.js';
import { createPolicySetup, replayEngineSpeed } from './policies.js';
import type { ReplayPolicyName } from './policies.js';
import { replayTrace } from './replay.js';
import { cutTrace, generateTrace } from './scenario.js';
import type { TraceScenario } from './scenario.js';
import {
  closingNightScenario,
  swingBackScenario,
} from './style-desk-scenarios.js';
import { evaluateTargets } from './performance-targets.js';
import type { PolicyComparison } from './performance-targets.js';
import { formatTrace, parseTrace } from './trace.js';
import type { Trace } from './trace.js';

/** Seed of the generated traces; it is not among `tuningSeeds`. */
const heldOutSeed = 101;

/** Returns the URL of a recorded trace in the folder `traces` of the package. */
const getTraceUrl = (name: string) =>
  new URL(`../../traces/${name}.jsonl`, import.meta.url);

/** Generates a trace and keeps the part between the two times. */
const createShortTrace = (
  scenario: TraceScenario,
  fromMs: number,
  toMs: number,
) => cutTrace(generateTrace(scenario, heldOutSeed), fromMs, toMs);

const runPolicy = async (
  trace: Trace,
  policy: ReplayPolicyName,
): Promise<ReplayFigures> => {
  const { changeCost } = trace.fleet;
  const policySetup = createPolicySetup(policy, {
    engineSpeed: replayEngineSpeed,
    changeCost,
  });
  return computeFigures(
    await replayTrace(trace, {
      policySetup: policySetup,
      engineSpeed: replayEngineSpeed,
    }),
  );
};

const comparePolicies = async (trace: Trace): Promise<PolicyComparison> => ({
  horizon: await runPolicy(trace, 'horizon'),
  baselines: [
    await runPolicy(trace, 'mixed'),
    await runPolicy(trace, 'fixed'),
    await runPolicy(trace, 'greedy'),
  ],
});

/**
 * Comparisons by trace name. Each runs once, before the tests, as a replay is
 * slow and fakes the clock of the whole thread.
 */
const comparisonsByTrace = new Map<string, PolicyComparison>();

test.serial.before(async () => {
  const closingNightTrace = createShortTrace(
    closingNightScenario,
    60_000,
    400_000,
  );
  comparisonsByTrace.set(
    'closing-night',
    await comparePolicies(closingNightTrace),
  );
  const swingBackTrace = createShortTrace(swingBackScenario, 0, 120_000);
  comparisonsByTrace.set('swing-back', await comparePolicies(swingBackTrace));
});

const getTargetResult = (trace: string, target: string) => {
  const comparison = comparisonsByTrace.get(trace);
  if (comparison === undefined)
    throw new Error(
      `no comparison for trace ${trace}: add it to test.serial.before`,
    );
  const result = evaluateTargets(comparison).find(
    candidate => candidate.target === target,
  );
  if (result === undefined)
    throw new Error(`evaluateTargets returns no target "${target}"`);
  return result;
};

for (const trace of ['closing-night', 'swing-back']) {
  test.serial(
    `${trace}: goodput of horizon is at least that of the best baseline`,
    t => {
      const { met, seen } = getTargetResult(trace, 'goodput >= best baseline');
      t.true(met, seen);
    },
  );
}

test.serial(
  'closing-night: horizon makes at most a third of the role changes of greedy',
  t => {
    const target = 'role changes <= a third of greedy';
    const { met, seen } = getTargetResult('closing-night', target);
    t.true(met, seen);
  },
);

test.serial('swing-back: horizon changes no role', t => {
  const { met, seen } = getTargetResult('swing-back', 'no role change');
  t.true(met, seen);
});

test.serial('closing-night: 95 in 100 first tokens within 1.4 s', t => {
  const target = 'first token within 1.4 s for 95 in 100 admitted';
  const { met, seen } = getTargetResult('closing-night', target);
  t.true(met, seen);
});

test.serial('closing-night: 95 in 100 with 57 ms between tokens', t => {
  const target = '57 ms between tokens for 95 in 100 admitted';
  const { met, seen } = getTargetResult('closing-night', target);
  t.true(met, seen);
});

test.serial(
  'two replays of the same trace and seed give the same figures',
  async t => {
    const text = await readFile(getTraceUrl('shift-and-loss'), 'utf8');
    const trace = parseTrace(text);
    const first = await runPolicy(trace, 'greedy');
    t.deepEqual(await runPolicy(trace, 'greedy'), first);
    t.true(first.roleChanges > 0);
  },
);

test('a formatted trace parses back to the same trace', t => {
  const trace = createShortTrace(closingNightScenario, 0, 20_000);
  t.deepEqual(parseTrace(formatTrace(trace)), trace);
});

test('parsing an invalid trace line throws an error with its line number', t => {
  const text = formatTrace(createShortTrace(closingNightScenario, 0, 5_000));
  const lines = text.split('\n');
  lines[2] = '{"kind":"generation","atMs":-1}';
  t.throws(() => parseTrace(lines.join('\n')), { message: /^line 3: / });
});
