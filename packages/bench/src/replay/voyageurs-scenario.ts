/** A day of the booking of escorted flights, pressed into minutes. */
import type { RequestKind, Scenario } from './scenario.js';

/** Two prefix pieces of 4,096 tokens. */
const policy = { id: 'airline-policy', tokens: 8_192 };

const kinds: readonly RequestKind[] = [
  {
    kind: 'generation',
    operation: 'question',
    class: 'interactive',
    priority: 8,
    ownTokens: [150, 800],
    outputTokens: [40, 120],
    deadlineMs: 10_000,
    firstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'custody-check',
    class: 'standard',
    priority: 5,
    ownTokens: [1_500, 3_500],
    sharedPrefix: policy,
    outputTokens: [60, 180],
    deadlineMs: 15_000,
    firstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'hand-off-summary',
    class: 'standard',
    priority: 4,
    ownTokens: [1_000, 2_500],
    sharedPrefix: policy,
    outputTokens: [400, 900],
    deadlineMs: 60_000,
    firstTokenMs: 1_400,
  },
  {
    kind: 'operation',
    operation: 'book',
    class: 'standard',
    priority: 8,
    service: 'booking',
    deadlineMs: 5_000,
  },
  {
    kind: 'operation',
    operation: 'status',
    class: 'interactive',
    priority: 6,
    service: 'booking',
    deadlineMs: 3_000,
  },
];

const operations = { book: 0.5, status: 1.5 };
const mixed = {
  question: 5,
  'custody-check': 7,
  'hand-off-summary': 3,
  ...operations,
};
const checks = {
  question: 6,
  'custody-check': 16,
  'hand-off-summary': 1.5,
  ...operations,
};
const summaries = {
  question: 6,
  'custody-check': 3,
  'hand-off-summary': 6,
  ...operations,
};

/** A small pool that is always busy while the mix moves twice. */
export const voyageursDay: Scenario = {
  name: 'voyageurs-day',
  customers: ['quebec', 'sept-iles', 'gaspe', 'saguenay'],
  dataCenters: [
    { name: 'qc-1', engines: 5 },
    { name: 'qc-2', engines: 4 },
    { name: 'qc-3', engines: 4 },
  ],
  changeCost: 20,
  durationMs: 420_000,
  kinds,
  phases: [
    { atMs: 0, rates: mixed },
    { atMs: 60_000, rates: mixed },
    { atMs: 90_000, rates: checks },
    { atMs: 240_000, rates: checks },
    { atMs: 270_000, rates: summaries },
  ],
};
