/** Generates traces from scenarios: request kinds with rates that vary over time. */
import {
  createSeededRandom,
  drawExponential,
  drawInteger,
} from '../shared/seeded-random.js';
import type { EngineLoss, TraceFleet, Trace, TraceRequest } from './trace.js';

/** Minimum and maximum number of tokens, both included. */
type TokenRange = readonly [number, number];

/** Properties of every request of a kind. */
interface BaseRequestKind {
  readonly operation: string;
  readonly class: TraceRequest['class'];
  /** 0 to 9; a larger number is scheduled first. */
  readonly priority: number;
  /** Milliseconds from arrival to the deadline of the whole answer. */
  readonly deadlineMs: number;
}

/** A kind of generation; token counts are drawn uniformly from their ranges. */
export interface GenerationKind extends BaseRequestKind {
  readonly kind: 'generation';
  /** Prompt tokens after the shared prefix. */
  readonly uniqueTokens: TokenRange;
  /** Leading part of the prompt that all requests with the same id share. */
  readonly sharedPrefix?: { readonly id: string; readonly tokens: number };
  readonly outputTokens: TokenRange;
  /** Time limit from arrival to the first token. */
  readonly maxFirstTokenMs: number;
}

/** A kind of call to a plain service. */
export interface OperationKind extends BaseRequestKind {
  readonly kind: 'operation';
  readonly service: string;
}

export type RequestKind = GenerationKind | OperationKind;

/** Request rates at a time; between two phases the rates change linearly. */
export interface RatePhase {
  /** Milliseconds since the start of the trace. */
  readonly atMs: number;
  /** Requests per second to the whole fleet, by operation. */
  readonly requestsPerSecond: Readonly<Record<string, number>>;
}

/** Fleet, request kinds and rates from which a trace is generated. */
export interface TraceScenario {
  readonly name: string;
  readonly customers: readonly string[];
  readonly dataCenters: TraceFleet['dataCenters'];
  readonly durationMs: number;
  /**
   * Minimum net gain of a role change over the policy's horizon, as a number of
   * answers.
   */
  readonly changeCost: number;
  readonly kinds: readonly RequestKind[];
  readonly phases: readonly RatePhase[];
  readonly losses?: readonly EngineLoss[];
}

const msPerSecond = 1_000;

/** Returns the requests per second of an operation at a time of the trace. */
const interpolateRate = (
  phases: readonly RatePhase[],
  operation: string,
  atMs: number,
): number => {
  const nextIndex = phases.findIndex(phase => phase.atMs > atMs);
  const nextPhase = phases[nextIndex];
  const previousPhase = phases.at(
    nextIndex === -1 ? -1 : Math.max(0, nextIndex - 1),
  );
  const previousRate = previousPhase?.requestsPerSecond[operation] ?? 0;
  if (
    previousPhase === undefined ||
    nextPhase === undefined ||
    previousPhase === nextPhase
  ) {
    return previousRate;
  }
  const share =
    (atMs - previousPhase.atMs) / (nextPhase.atMs - previousPhase.atMs);
  return (
    previousRate +
    share * ((nextPhase.requestsPerSecond[operation] ?? 0) - previousRate)
  );
};

const pickRandom = <T>(random: () => number, values: readonly T[]): T => {
  const value = values[Math.floor(random() * values.length)];
  if (value === undefined) throw new Error('cannot pick from an empty list');
  return value;
};

const createRequest = (
  kind: RequestKind,
  atMs: number,
  { customers, dataCenters }: TraceScenario,
  random: () => number,
): TraceRequest => {
  const commonFields = {
    atMs,
    customer: pickRandom(random, customers),
    operation: kind.operation,
    class: kind.class,
    dataCenter: pickRandom(random, dataCenters).name,
    priority: kind.priority,
    deadlineMs: kind.deadlineMs,
  };
  if (kind.kind === 'operation') {
    return { kind: 'operation', ...commonFields, service: kind.service };
  }
  const uniqueTokens = drawInteger(random, kind.uniqueTokens);
  return {
    kind: 'generation',
    ...commonFields,
    promptTokens: uniqueTokens + (kind.sharedPrefix?.tokens ?? 0),
    sharedPrefix: kind.sharedPrefix,
    outputTokens: drawInteger(random, kind.outputTokens),
    firstTokenMs: kind.maxFirstTokenMs,
  };
};

/**
 * Generates the requests of one kind: a Poisson process at the maximum rate,
 * thinned to the rate at each time.
 */
const createArrivals = (
  scenario: TraceScenario,
  kind: RequestKind,
  random: () => number,
): TraceRequest[] => {
  const { phases, durationMs } = scenario;
  const rates = phases.map(
    phase => phase.requestsPerSecond[kind.operation] ?? 0,
  );
  const maxRate = Math.max(...rates);
  const requests: TraceRequest[] = [];
  if (maxRate === 0) return requests;
  const meanIntervalMs = msPerSecond / maxRate;
  let atMs = drawExponential(random, meanIntervalMs);
  while (atMs < durationMs) {
    const share = interpolateRate(phases, kind.operation, atMs) / maxRate;
    const request = createRequest(kind, Math.round(atMs), scenario, random);
    if (random() < share) requests.push(request);
    atMs += drawExponential(random, meanIntervalMs);
  }
  return requests;
};

/** Generates the trace of a scenario; the same seed gives the same trace. */
export const generateTrace = (scenario: TraceScenario, seed: number): Trace => {
  const random = createSeededRandom(seed);
  const requests = scenario.kinds.flatMap(kind =>
    createArrivals(scenario, kind, random),
  );
  requests.sort((a, b) => a.atMs - b.atMs);
  const { name, durationMs, changeCost, dataCenters } = scenario;
  return {
    fleet: {
      kind: 'fleet',
      name,
      seed,
      durationMs,
      changeCost,
      dataCenters,
    },
    requests,
    losses: scenario.losses ?? [],
  };
};

/** Returns the part of a trace in [fromMs, toMs), shifted to start at 0. */
export const cutTrace = (trace: Trace, fromMs: number, toMs: number): Trace => {
  const isInRange = ({ atMs }: { readonly atMs: number }) =>
    atMs >= fromMs && atMs < toMs;
  const shiftTime = <T extends { readonly atMs: number }>(line: T): T => ({
    ...line,
    atMs: line.atMs - fromMs,
  });
  return {
    fleet: { ...trace.fleet, durationMs: toMs - fromMs },
    requests: trace.requests.filter(isInRange).map(shiftTime),
    losses: trace.losses.filter(isInRange).map(shiftTime),
  };
};
