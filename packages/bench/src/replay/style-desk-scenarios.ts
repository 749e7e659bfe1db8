/** The newsrooms' traces: a closing night and its variations. */
import type { Phase, RequestKind, Scenario } from './scenario.js';
import { engineName } from './trace.js';

/** Three prefix pieces of 4,096 tokens. */
const rulebook = { id: 'style-rulebook', tokens: 12_288 };

const kinds: readonly RequestKind[] = [
  {
    kind: 'generation',
    operation: 'check',
    class: 'interactive',
    priority: 7,
    ownTokens: [800, 2_800],
    sharedPrefix: rulebook,
    outputTokens: [20, 80],
    deadlineMs: 8_000,
    firstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'correct',
    class: 'standard',
    priority: 5,
    ownTokens: [600, 1_800],
    sharedPrefix: rulebook,
    outputTokens: [50, 150],
    deadlineMs: 15_000,
    firstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'draft',
    class: 'batch',
    priority: 2,
    ownTokens: [600, 1_600],
    sharedPrefix: rulebook,
    outputTokens: [400, 900],
    deadlineMs: 60_000,
    firstTokenMs: 1_400,
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

const day = { check: 3, correct: 1.5, draft: 2.9, amend: 0.2 };
const closing = { check: 11.5, correct: 2, draft: 0.5, amend: 0.4 };

const common = {
  changeCost: 5,
  customers: ['bogota', 'cali', 'medellin', 'cartagena', 'pasto', 'leticia'],
  dataCenters: [
    { name: 'bog-1', engines: 2 },
    { name: 'bog-2', engines: 2 },
    { name: 'bog-3', engines: 2 },
  ],
  kinds,
};

/** Day work, then a steep shift to long prompts with short outputs. */
export const closingNight: Scenario = {
  ...common,
  name: 'closing-night',
  durationMs: 480_000,
  phases: [
    { atMs: 0, rates: day },
    { atMs: 140_000, rates: day },
    { atMs: 170_000, rates: closing },
    { atMs: 440_000, rates: closing },
    { atMs: 470_000, rates: day },
  ],
};

const swingPeriodMs = 20_000;
const swingRampMs = 2_000;
const swingHigh = { check: 8.5, correct: 2, draft: 0.5, amend: 0.3 };

const swingPhases = (durationMs: number): Phase[] => {
  const phases: Phase[] = [];
  for (let atMs = 0, n = 0; atMs < durationMs; atMs += swingPeriodMs, n += 1) {
    const rates = n % 2 === 0 ? day : swingHigh;
    phases.push({ atMs, rates });
    phases.push({ atMs: atMs + swingPeriodMs - swingRampMs, rates });
  }
  return phases;
};

/** Swings too quick for a role change to pay. */
export const swingBack: Scenario = {
  ...common,
  name: 'swing-back',
  durationMs: 300_000,
  phases: swingPhases(300_000),
};

/** The shift, and an engine that is lost in the middle of it. */
export const shiftAndLoss: Scenario = {
  ...common,
  name: 'shift-and-loss',
  durationMs: 360_000,
  phases: [
    { atMs: 0, rates: day },
    { atMs: 80_000, rates: day },
    { atMs: 110_000, rates: { ...closing, check: 9 } },
  ],
  losses: [
    { kind: 'engine_loss', atMs: 200_000, engine: engineName('bog-2', 1) },
  ],
};
