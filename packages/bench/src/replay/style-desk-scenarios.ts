/**
 * Scenarios of newsrooms that check and correct articles against a style guide:
 * the hours before the editorial deadline, and variations.
 */
import type { RatePhase, RequestKind, TraceScenario } from './scenario.js';
import { formatEngineName } from './trace.js';

/** Prefix of three blocks of 4,096 tokens. */
const rulebookPrefix = { id: 'style-rulebook', tokens: 12_288 };

const requestKinds: readonly RequestKind[] = [
  {
    kind: 'generation',
    operation: 'check',
    class: 'interactive',
    priority: 7,
    uniqueTokens: [800, 2_800],
    sharedPrefix: rulebookPrefix,
    outputTokens: [20, 80],
    deadlineMs: 8_000,
    maxFirstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'correct',
    class: 'standard',
    priority: 5,
    uniqueTokens: [600, 1_800],
    sharedPrefix: rulebookPrefix,
    outputTokens: [50, 150],
    deadlineMs: 15_000,
    maxFirstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'draft',
    class: 'batch',
    priority: 2,
    uniqueTokens: [600, 1_600],
    sharedPrefix: rulebookPrefix,
    outputTokens: [400, 900],
    deadlineMs: 60_000,
    maxFirstTokenMs: 1_400,
  },
  {
    kind: 'operation',
    operation: 'amend',
    class: 'standard',
    priority: 8,
    service: 'style-guide',
    deadlineMs: 5_000,
  },
];

/** Requests per second during the day. */
const dayRates = { check: 3, correct: 1.5, draft: 2.9, amend: 0.2 };
/** Requests per second before the editorial deadline. */
const closingRates = { check: 11.5, correct: 2, draft: 0.5, amend: 0.4 };

const commonSettings = {
  changeCost: 5,
  customers: ['bogota', 'cali', 'medellin', 'cartagena', 'pasto', 'leticia'],
  dataCenters: [
    { name: 'bog-1', engines: 2 },
    { name: 'bog-2', engines: 2 },
    { name: 'bog-3', engines: 2 },
  ],
  kinds: requestKinds,
};

/** Daytime load, then a fast shift to long prompts with short outputs, and back. */
export const closingNightScenario: TraceScenario = {
  ...commonSettings,
  name: 'closing-night',
  durationMs: 480_000,
  phases: [
    { atMs: 0, requestsPerSecond: dayRates },
    { atMs: 140_000, requestsPerSecond: dayRates },
    { atMs: 170_000, requestsPerSecond: closingRates },
    { atMs: 440_000, requestsPerSecond: closingRates },
    { atMs: 470_000, requestsPerSecond: dayRates },
  ],
};

/** Milliseconds between two changes of the load. */
const swingPeriodMs = 20_000;
/** Duration of a change of the load, at the end of a period. */
const swingRampMs = 2_000;
const swingPeakRates = { check: 8.5, correct: 2, draft: 0.5, amend: 0.3 };

/** Alternates between daytime and peak rates once per period. */
const createSwingPhases = (durationMs: number): RatePhase[] => {
  const phases: RatePhase[] = [];
  for (
    let atMs = 0, phaseIndex = 0;
    atMs < durationMs;
    atMs += swingPeriodMs, phaseIndex += 1
  ) {
    const rates = phaseIndex % 2 === 0 ? dayRates : swingPeakRates;
    phases.push({ atMs, requestsPerSecond: rates });
    phases.push({
      atMs: atMs + swingPeriodMs - swingRampMs,
      requestsPerSecond: rates,
    });
  }
  return phases;
};

/** Load changes too fast for a role change to be worth its cost. */
export const swingBackScenario: TraceScenario = {
  ...commonSettings,
  name: 'swing-back',
  durationMs: 300_000,
  phases: createSwingPhases(300_000),
};

/** The shift of the closing night with fewer checks, then the loss of one engine. */
export const shiftAndLossScenario: TraceScenario = {
  ...commonSettings,
  name: 'shift-and-loss',
  durationMs: 360_000,
  phases: [
    { atMs: 0, requestsPerSecond: dayRates },
    { atMs: 80_000, requestsPerSecond: dayRates },
    { atMs: 110_000, requestsPerSecond: { ...closingRates, check: 9 } },
  ],
  losses: [
    {
      kind: 'engine_loss',
      atMs: 200_000,
      engine: formatEngineName('bog-2', 1),
    },
  ],
};
