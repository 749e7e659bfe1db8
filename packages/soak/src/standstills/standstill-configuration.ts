/** Routes and services of a run with standstills, which each version changes a little. */
import { createOperatorConfiguration } from '@medlarlever/platform/stand-ins';

import type { SeededRandom } from '../shared/seeded-random.js';

import { repeatableKinds, streamKinds } from './standstill-record.js';
import type { StandstillKind } from './standstill-record.js';

export const standstillHost = 'desk.example';

/** Engine services, between which the weights of the stream routes change. */
export const engineServices = ['lm-1', 'lm-2'] as const;
export const plainService = 'api';

/** Longest pause between events that callers accept. */
const targetGapMs = 160;

/** Shortest timeouts of routes in any version. */
export const shortestTimeoutMs = { plain: 2_500, stream: 12_000 };
const timeoutRangeMs = 1_500;

/** Shortest time for a head in any version; callers stay below it. */
export const shortestHeaderTimeoutMs = 1_000;
const headerTimeoutRangeMs = 1_000;
const idleTimeoutMs = { min: 4_000, max: 15_000 };

const maxWeight = 100;

const createRoute = (kind: StandstillKind, random: SeededRandom) => {
  const isStream = streamKinds.has(kind);
  const isRepeatable = repeatableKinds.has(kind);
  const minTimeoutMs = isStream
    ? shortestTimeoutMs.stream
    : shortestTimeoutMs.plain;
  const weight = Math.round(random.nextBetween(1, maxWeight));
  const plainKind = isRepeatable ? 'idempotent' : 'non_idempotent';
  return {
    name: `route ${kind}`,
    host: standstillHost,
    prefix: `/${kind}/`,
    kind: isStream ? 'streaming' : plainKind,
    timeout_ms: Math.round(
      random.nextBetween(minTimeoutMs, minTimeoutMs + timeoutRangeMs),
    ),
    target_latency_ms: 600,
    priority: 1,
    max_attempts: isRepeatable ? 3 : 1,
    ...(isStream
      ? {
          traffic_split: [
            { service: engineServices[0], weight },
            { service: engineServices[1], weight: maxWeight - weight },
          ],
          resumable: isRepeatable,
          session_affinity: true,
          target_gap_ms: targetGapMs,
        }
      : { service: plainService }),
  };
};

/** Creates a version whose timeouts and weights differ from those of the others. */
export const createStandstillConfiguration = (
  version: number,
  random: SeededRandom,
) => {
  const template = createOperatorConfiguration(version);
  const [plain, engine] = template.services;
  return {
    ...template,
    routes: (['read', 'book', 'ask', 'tell'] as const).map(kind =>
      createRoute(kind, random),
    ),
    services: [
      { ...plain, name: plainService },
      ...engineServices.map(name => ({ ...engine, name })),
    ],
    limits: {
      ...template.limits,
      header_timeout_ms: Math.round(
        random.nextBetween(
          shortestHeaderTimeoutMs,
          shortestHeaderTimeoutMs + headerTimeoutRangeMs,
        ),
      ),
      idle_timeout_ms: Math.round(
        random.nextBetween(idleTimeoutMs.min, idleTimeoutMs.max),
      ),
    },
  };
};
