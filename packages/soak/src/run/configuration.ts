/**
 * Routes and services of the soak test, in the format of the platform's
 * configuration.
 */
import {
  createOperatorConfiguration,
  createTenants,
} from '@medlarlever/platform/stand-ins';

import type { RequestKind } from './run-record.js';

/** Host name of every route. */
export const routeHost = 'desk.example';

/** Timeout of every route, and the deadline that callers send. */
export const requestTimeoutMs = 2_500;
/** Longest time for which a withdrawn key may still be used. */
export const maxKeyDelayMs = 3_000;
/** Attempts that idempotent and stream routes allow for each request. */
export const maxAttempts = 2;

/** Time in seconds that an instance has between SIGTERM and its exit. */
export const shutdownGraceSeconds = 8;

/**
 * Retries that the retry budget allows in addition to its share of the
 * requests; small enough for faults to exhaust the budget.
 */
export const retryAllowance = 30;

/**
 * Path prefix of the route that configuration changes switch between the two
 * moving services.
 */
export const movingRoutePrefix = '/move/';
/** The two services between which the moving route switches. */
export const movingServices = ['move-a', 'move-b'] as const;

/** Path prefixes of the fixed routes by kind of request. */
export const routePrefixes: Readonly<Record<RequestKind, string>> = {
  idempotent: '/read/',
  non_idempotent: '/book/',
  stream: '/ask/',
};

const configuredKinds: Readonly<Record<RequestKind, string>> = {
  idempotent: 'idempotent',
  non_idempotent: 'non_idempotent',
  stream: 'streaming',
};

/**
 * Latency target of every route, and target for the time between two events on
 * the stream route (`target_gap_ms`).
 */
const targetLatencyMs = 300;

const createRoute = (
  kind: RequestKind,
  prefix: string,
  service: string,
  priority: number,
) => ({
  name: `route ${prefix}`,
  host: routeHost,
  prefix,
  kind: configuredKinds[kind],
  timeout_ms: requestTimeoutMs,
  target_latency_ms: targetLatencyMs,
  priority,
  service,
  max_attempts: kind === 'non_idempotent' ? 1 : maxAttempts,
  ...(kind === 'stream'
    ? { resumable: true, target_gap_ms: targetLatencyMs }
    : {}),
});

/**
 * Creates the operator's configuration, in which the moving route leads to
 * `movingService` and the customers have the keys.
 */
export const createConfiguration = (
  version: number,
  movingService: string,
  keysByCustomer: Readonly<Record<string, readonly string[]>>,
) => {
  const template = createOperatorConfiguration(version);
  const [plainService, engineService] = template.services;
  const apiService = { ...plainService, name: 'api' };
  const movingServiceConfigs = movingServices.map(name => ({
    ...plainService,
    name,
  }));
  return {
    ...template,
    tenants: createTenants(keysByCustomer),
    routes: [
      createRoute('idempotent', routePrefixes.idempotent, 'api', 1),
      createRoute('non_idempotent', routePrefixes.non_idempotent, 'api', 2),
      createRoute('stream', routePrefixes.stream, 'lm', 0),
      createRoute('idempotent', movingRoutePrefix, movingService, 1),
    ],
    services: [
      apiService,
      ...movingServiceConfigs,
      { ...engineService, name: 'lm' },
    ],
  };
};
