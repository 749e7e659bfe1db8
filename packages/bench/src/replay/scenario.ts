/** Generates traces from rates that move between phases. */
import {
  createSeededRandom,
  drawExponential,
  drawInteger,
} from '../shared/seeded-random.js';
import type { EngineLoss, TraceFleet, Trace, TraceRequest } from './trace.js';

type TokenRange = readonly [number, number];

interface BaseRequestKind {
  readonly operation: string;
  readonly class: TraceRequest['class'];
  readonly priority: number;
  readonly deadlineMs: number;
}

/** A kind of generation; tokens are drawn between the bounds. */
export interface GenerationKind extends BaseRequestKind {
  readonly kind: 'generation';
  /** Prompt tokens after the shared prefix. */
  readonly uniqueTokens: TokenRange;
  readonly sharedPrefix?: { readonly id: string; readonly tokens: number };
  readonly outputTokens: TokenRange;
  readonly maxFirstTokenMs: number;
}

export interface OperationKind extends BaseRequestKind {
  readonly kind: 'operation';
  readonly service: string;
}

export type RequestKind = GenerationKind | OperationKind;

/** Rates in force at a moment; between two phases they change linearly. */
export interface RatePhase {
  readonly atMs: number;
  /** Requests a second of the whole fleet, by operation. */
  readonly requestsPerSecond: Readonly<Record<string, number>>;
}

export interface TraceScenario {
  readonly name: string;
  readonly customers: readonly string[];
  readonly dataCenters: TraceFleet['dataCenters'];
  readonly durationMs: number;
  /** Answers that a role change must gain in this deployment. */
  readonly changeCost: number;
  readonly kinds: readonly RequestKind[];
  readonly phases: readonly RatePhase[];
  readonly losses?: readonly EngineLoss[];
}

const msPerSecond = 1_000;

const interpolateRate = (
  phases: readonly RatePhase[],
  operation: string,
  atMs: number,
): number => {
  const next = phases.findIndex(phase => phase.atMs > atMs);
  const after = phases[next];
  const before = phases.at(next === -1 ? -1 : Math.max(0, next - 1));
  const rateBefore = before?.requestsPerSecond[operation] ?? 0;
  if (before === undefined || after === undefined || before === after) {
    return rateBefore;
  }
  const share = (atMs - before.atMs) / (after.atMs - before.atMs);
  return (
    rateBefore +
    share * ((after.requestsPerSecond[operation] ?? 0) - rateBefore)
  );
};

const pickRandom = <T>(random: () => number, values: readonly T[]): T => {
  const value = values[Math.floor(random() * values.length)];
  if (value === undefined) throw new Error('nothing to pick from');
  return value;
};

const createRequest = (
  kind: RequestKind,
  atMs: number,
  { customers, dataCenters }: TraceScenario,
  random: () => number,
): TraceRequest => {
  const common = {
    atMs,
    customer: pickRandom(random, customers),
    operation: kind.operation,
    class: kind.class,
    dataCenter: pickRandom(random, dataCenters).name,
    priority: kind.priority,
    deadlineMs: kind.deadlineMs,
  };
  if (kind.kind === 'operation') {
    return { kind: 'operation', ...common, service: kind.service };
  }
  const own = drawInteger(random, kind.uniqueTokens);
  return {
    kind: 'generation',
    ...common,
    promptTokens: own + (kind.sharedPrefix?.tokens ?? 0),
    sharedPrefix: kind.sharedPrefix,
    outputTokens: drawInteger(random, kind.outputTokens),
    firstTokenMs: kind.maxFirstTokenMs,
  };
};

/** Arrivals of one kind: a Poisson process thinned to the moving rate. */
const createArrivals = (
  scenario: TraceScenario,
  kind: RequestKind,
  random: () => number,
): TraceRequest[] => {
  const { phases, durationMs } = scenario;
  const rates = phases.map(
    phase => phase.requestsPerSecond[kind.operation] ?? 0,
  );
  const highest = Math.max(...rates);
  const requests: TraceRequest[] = [];
  if (highest === 0) return requests;
  const meanMs = msPerSecond / highest;
  let atMs = drawExponential(random, meanMs);
  while (atMs < durationMs) {
    const share = interpolateRate(phases, kind.operation, atMs) / highest;
    const request = createRequest(kind, Math.round(atMs), scenario, random);
    if (random() < share) requests.push(request);
    atMs += drawExponential(random, meanMs);
  }
  return requests;
};

/** The trace of a scenario for a seed. */
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

/** The part of a trace between two times, moved to start at 0. */
export const cutTrace = (trace: Trace, fromMs: number, toMs: number): Trace => {
  const inside = ({ atMs }: { readonly atMs: number }) =>
    atMs >= fromMs && atMs < toMs;
  const move = <T extends { readonly atMs: number }>(line: T): T => ({
    ...line,
    atMs: line.atMs - fromMs,
  });
  return {
    fleet: { ...trace.fleet, durationMs: toMs - fromMs },
    requests: trace.requests.filter(inside).map(move),
    losses: trace.losses.filter(inside).map(move),
  };
};
