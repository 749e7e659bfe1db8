/**
 * Trace files: JSON Lines with a fleet line first, then the requests and engine
 * losses. Times (`atMs`) are milliseconds since the start of the trace.
 */
import { readFile } from 'node:fs/promises';

import { z } from 'zod';

const fleetLineSchema = z.strictObject({
  kind: z.literal('fleet'),
  name: z.string(),
  seed: z.number().int(),
  durationMs: z.number().int().positive(),
  /**
   * Minimum net gain of a role change over the policy's horizon, as a number of
   * answers.
   */
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
  /** Requests with a larger number are scheduled first. */
  priority: z.number().int().min(0).max(9),
  /** Milliseconds from arrival to the deadline of the whole answer. */
  deadlineMs: z.number().int().positive(),
};

const generationLineSchema = z.strictObject({
  kind: z.literal('generation'),
  ...requestFieldSchemas,
  promptTokens: z.number().int().positive(),
  /** Leading part of the prompt, shared by all requests with the same id. */
  sharedPrefix: z
    .strictObject({ id: z.string(), tokens: z.number().int().positive() })
    .optional(),
  outputTokens: z.number().int().positive(),
  /** Time limit from arrival to the first token. */
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

/** Schema of one line of a trace file; the first line must be the fleet. */
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

/** A parsed trace. */
export interface Trace {
  readonly fleet: TraceFleet;
  /** Requests in order of arrival. */
  readonly requests: readonly TraceRequest[];
  readonly losses: readonly EngineLoss[];
}

/** Returns the name of an engine; `number` counts from 1 in each data centre. */
export const formatEngineName = (dataCenter: string, number: number): string =>
  `${dataCenter}-engine-${number}`;

/** Formats a trace as JSON Lines. */
export const formatTrace = ({ fleet, requests, losses }: Trace): string =>
  [fleet, ...losses, ...requests]
    .map(line => `${JSON.stringify(line)}\n`)
    .join('');

const parseLine = (text: string, lineNumber: number): TraceLine => {
  const line = traceLineSchema.safeParse(JSON.parse(text));
  if (line.success) return line.data;
  throw new Error(`line ${lineNumber}: ${z.prettifyError(line.error)}`);
};

/**
 * Parses JSON Lines. Throws an error with the line number of the first line that
 * does not match the schema; empty lines are not counted.
 */
export const parseTrace = (text: string): Trace => {
  const lines = text
    .split('\n')
    .filter(line => line.length > 0)
    .map((line, index) => parseLine(line, index + 1));
  const [fleet, ...otherLines] = lines;
  if (fleet?.kind !== 'fleet')
    throw new Error('line 1: expected a line of kind "fleet"');
  const losses = otherLines.filter(line => line.kind === 'engine_loss');
  const requests = otherLines.filter(
    line => line.kind === 'generation' || line.kind === 'operation',
  );
  if (losses.length + requests.length < otherLines.length) {
    throw new Error(
      'the trace has more than one line of kind "fleet": keep only the first',
    );
  }
  requests.sort((a, b) => a.atMs - b.atMs);
  return { fleet, requests, losses };
};

/** Reads and parses a trace file. */
export const readTrace = async (path: string): Promise<Trace> =>
  parseTrace(await readFile(path, 'utf8'));
