/** Traces: JSON Lines of a fleet, the requests to it and engine losses. */
import { readFile } from 'node:fs/promises';

import { z } from 'zod';

const fleetLineSchema = z.strictObject({
  kind: z.literal('fleet'),
  name: z.string(),
  seed: z.number().int(),
  durationMs: z.number().int().positive(),
  /** The deployment's setting: answers that a role change must gain. */
  changeCost: z.number().nonnegative(),
  dataCenters: z.array(
    z.strictObject({ name: z.string(), engines: z.number().int().positive() }),
  ),
});

const requestFieldSchemas = {
  atMs: z.number().int().nonnegative(),
  customer: z.string(),
  operation: z.string(),
  class: z.enum(['interactive', 'standard', 'batch']),
  dataCenter: z.string(),
  /** Larger goes first. */
  priority: z.number().int().min(0).max(9),
  /** The whole answer is due this long after arrival. */
  deadlineMs: z.number().int().positive(),
};

const generationLineSchema = z.strictObject({
  kind: z.literal('generation'),
  ...requestFieldSchemas,
  promptTokens: z.number().int().positive(),
  /** Leading part of the prompt that other requests share. */
  sharedPrefix: z
    .strictObject({ id: z.string(), tokens: z.number().int().positive() })
    .optional(),
  outputTokens: z.number().int().positive(),
  /** The first token is due this long after arrival. */
  firstTokenMs: z.number().int().positive(),
});

const operationLineSchema = z.strictObject({
  kind: z.literal('operation'),
  ...requestFieldSchemas,
  service: z.string(),
});

const engineLossLineSchema = z.strictObject({
  kind: z.literal('engine_loss'),
  atMs: z.number().int().nonnegative(),
  engine: z.string(),
});

/** One line of a trace file; the first one is the fleet. */
export const traceLineSchema = z.discriminatedUnion('kind', [
  fleetLineSchema,
  generationLineSchema,
  operationLineSchema,
  engineLossLineSchema,
]);
export type TraceLine = z.infer<typeof traceLineSchema>;
export type TraceFleet = z.infer<typeof fleetLineSchema>;
export type TraceGeneration = z.infer<typeof generationLineSchema>;
export type TraceOperation = z.infer<typeof operationLineSchema>;
export type TraceRequest = TraceGeneration | TraceOperation;
export type EngineLoss = z.infer<typeof engineLossLineSchema>;

export interface Trace {
  readonly fleet: TraceFleet;
  /** In order of arrival. */
  readonly requests: readonly TraceRequest[];
  readonly losses: readonly EngineLoss[];
}

/** Name of an engine by its data centre and number from 1. */
export const formatEngineName = (dataCenter: string, number: number): string =>
  `${dataCenter}-engine-${number}`;

/** The trace as JSON Lines. */
export const formatTrace = ({ fleet, requests, losses }: Trace): string =>
  [fleet, ...losses, ...requests]
    .map(line => `${JSON.stringify(line)}\n`)
    .join('');

const parseLine = (text: string, number: number): TraceLine => {
  const line = traceLineSchema.safeParse(JSON.parse(text));
  if (line.success) return line.data;
  throw new Error(`line ${number}: ${z.prettifyError(line.error)}`);
};

/** Reads JSON Lines; throws with the line number of the first bad line. */
export const parseTrace = (text: string): Trace => {
  const lines = text
    .split('\n')
    .filter(line => line.length > 0)
    .map((line, index) => parseLine(line, index + 1));
  const [fleet, ...rest] = lines;
  if (fleet?.kind !== 'fleet') throw new Error('line 1: no fleet line');
  const losses = rest.filter(line => line.kind === 'engine_loss');
  const requests = rest.filter(
    line => line.kind === 'generation' || line.kind === 'operation',
  );
  if (losses.length + requests.length < rest.length) {
    throw new Error('more than one fleet line');
  }
  requests.sort((a, b) => a.atMs - b.atMs);
  return { fleet, requests, losses };
};

export const readTrace = async (path: string): Promise<Trace> =>
  parseTrace(await readFile(path, 'utf8'));
