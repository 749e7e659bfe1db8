/** Routes and services of the soak, in the platform's form. */
import { createOperatorConfiguration } from '@medlarlever/platform/stand-ins';

import type { RequestKind } from './run-record.js';

export const host = 'desk.example';

/** Longest time that a caller waits, and that each route allows. */
export const timeoutMs = 2_500;
export const maxAttempts = 2;

/** Time that a stopping instance has, in seconds. */
export const graceS = 8;

/** Retries that are free, small enough for faults to use them up. */
export const retryAllowance = 30;

/** The route that changes of the configuration move between both services. */
export const movingPrefix = '/move/';
export const movingServices = ['move-a', 'move-b'] as const;

export const prefixes: Readonly<Record<RequestKind, string>> = {
  idempotent: '/read/',
  non_idempotent: '/book/',
  stream: '/ask/',
};

const wireKinds: Readonly<Record<RequestKind, string>> = {
  idempotent: 'idempotent',
  non_idempotent: 'non_idempotent',
  stream: 'streaming',
};

const latencyMs = 300;

const route = (
  kind: RequestKind,
  prefix: string,
  service: string,
  priority: number,
) => ({
  name: `route ${prefix}`,
  host,
  prefix,
  kind: wireKinds[kind],
  timeout_ms: timeoutMs,
  target_latency_ms: latencyMs,
  priority,
  service,
  max_attempts: kind === 'non_idempotent' ? 1 : maxAttempts,
  ...(kind === 'stream' ? { resumable: true, target_gap_ms: latencyMs } : {}),
});

/** The operator's configuration; the moving route leads to one service. */
export const configurationOf = (version: number, moving: string) => {
  const example = createOperatorConfiguration(version);
  const [plain, engine] = example.services;
  const api = { ...plain, name: 'api' };
  const parallel = movingServices.map(name => ({ ...plain, name }));
  return {
    ...example,
    routes: [
      route('idempotent', prefixes.idempotent, 'api', 1),
      route('non_idempotent', prefixes.non_idempotent, 'api', 2),
      route('stream', prefixes.stream, 'lm', 0),
      route('idempotent', movingPrefix, moving, 1),
    ],
    services: [api, ...parallel, { ...engine, name: 'lm' }],
  };
};
