/** Routes and services of the soak, in the platform's form. */
import { createOperatorConfiguration } from '@medlarlever/platform/stand-ins';

import type { RequestKind } from './run-record.js';

export const routeHost = 'desk.example';

/** Longest time that a caller waits, and that each route allows. */
export const requestTimeoutMs = 2_500;
export const maxAttempts = 2;

/** Time that a stopping instance has, in seconds. */
export const shutdownGraceSeconds = 8;

/** Retries that are free, small enough for faults to use them up. */
export const retryAllowance = 30;

/** The route that changes of the configuration move between both services. */
export const movingRoutePrefix = '/move/';
export const movingServices = ['move-a', 'move-b'] as const;

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

/** The operator's configuration; the moving route leads to one service. */
export const createConfiguration = (version: number, moving: string) => {
  const example = createOperatorConfiguration(version);
  const [plain, engine] = example.services;
  const api = { ...plain, name: 'api' };
  const parallel = movingServices.map(name => ({ ...plain, name }));
  return {
    ...example,
    routes: [
      createRoute('idempotent', routePrefixes.idempotent, 'api', 1),
      createRoute('non_idempotent', routePrefixes.non_idempotent, 'api', 2),
      createRoute('stream', routePrefixes.stream, 'lm', 0),
      createRoute('idempotent', movingRoutePrefix, moving, 1),
    ],
    services: [api, ...parallel, { ...engine, name: 'lm' }],
  };
};
