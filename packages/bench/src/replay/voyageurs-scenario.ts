/**
 * Scenario of a booking service for escorted flights: the load of one day,
 * compressed into seven minutes.
 */
import type { RequestKind, TraceScenario } from './scenario.js';

/** Prefix of two blocks of 4,096 tokens. */
const policyPrefix = { id: 'airline-policy', tokens: 8_192 };

const requestKinds: readonly RequestKind[] = [
  {
    kind: 'generation',
    operation: 'question',
    class: 'interactive',
    priority: 8,
    uniqueTokens: [150, 800],
    outputTokens: [40, 120],
    deadlineMs: 10_000,
    maxFirstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'custody-check',
    class: 'standard',
    priority: 5,
    uniqueTokens: [1_500, 3_500],
    sharedPrefix: policyPrefix,
    outputTokens: [60, 180],
    deadlineMs: 15_000,
    maxFirstTokenMs: 1_400,
  },
  {
    kind: 'generation',
    operation: 'hand-off-summary',
    class: 'standard',
    priority: 4,
    uniqueTokens: [1_000, 2_500],
    sharedPrefix: policyPrefix,
    outputTokens: [400, 900],
    deadlineMs: 60_000,
    maxFirstTokenMs: 1_400,
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

/** Requests per second to the booking service. */
const operationRates = { book: 0.5, status: 1.5 };
/** Requests per second at the start of the day. */
const mixedRates = {
  question: 5,
  'custody-check': 7,
  'hand-off-summary': 3,
  ...operationRates,
};
/** Requests per second while long prompts with short outputs dominate. */
const checkHeavyRates = {
  question: 6,
  'custody-check': 16,
  'hand-off-summary': 1.5,
  ...operationRates,
};
/** Requests per second while long outputs dominate. */
const summaryHeavyRates = {
  question: 6,
  'custody-check': 3,
  'hand-off-summary': 6,
  ...operationRates,
};

/** A fully loaded fleet of 13 engines whose request mix changes twice. */
export const voyageursDayScenario: TraceScenario = {
  name: 'voyageurs-day',
  customers: ['quebec', 'sept-iles', 'gaspe', 'saguenay'],
  dataCenters: [
    { name: 'qc-1', engines: 5 },
    { name: 'qc-2', engines: 4 },
    { name: 'qc-3', engines: 4 },
  ],
  changeCost: 20,
  durationMs: 420_000,
  kinds: requestKinds,
  phases: [
    { atMs: 0, requestsPerSecond: mixedRates },
    { atMs: 60_000, requestsPerSecond: mixedRates },
    { atMs: 90_000, requestsPerSecond: checkHeavyRates },
    { atMs: 240_000, requestsPerSecond: checkHeavyRates },
    { atMs: 270_000, requestsPerSecond: summaryHeavyRates },
  ],
};
