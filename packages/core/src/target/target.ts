/** Targets that serve requests: model engines and plain services. */
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';
import type { Deadline } from '../shared/time.js';

/** Phases of a generation that an engine runs; `mixed` means both. */
export const engineRoleSchema = z.enum(['mixed', 'prefill', 'decode']);
export type EngineRole = z.infer<typeof engineRoleSchema>;

/** A model as loaded on an engine: `name@version` with optional adapter. */
export const modelIdSchema = z.object({
  name: z.string().min(1),
  version: z.string().min(1),
  adapter: z.string().min(1).optional(),
});
export type ModelId = z.infer<typeof modelIdSchema>;

/** Load of an engine at the time of the report. */
export const loadReportSchema = z.object({
  /** Time of the report in milliseconds since the Unix epoch (engine's clock). */
  atMs: z.number(),
  role: engineRoleSchema,
  models: z.array(modelIdSchema),
  /** False while the engine changes its role or loads weights. */
  accepting: z.boolean(),
  /** True when the engine is about to shut down. */
  leaving: z.boolean(),
  running: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  /** Prompt tokens of running and queued requests still to be prefilled. */
  prefillTokens: z.number().nonnegative(),
  /** Used fraction of the KV cache, 0 to 1. */
  cacheUse: z.number().min(0).max(1),
  /** Maximum number of requests that run at the same time. */
  slots: z.number().int().positive(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/** A change of the prefix cache; a gap in `sequence` means lost events. */
export const cacheEventSchema = z.object({
  sequence: z.number().int().nonnegative(),
  kind: z.enum(['stored', 'evicted', 'cleared']),
  /** Digests of prefix blocks; each digest covers all preceding blocks. */
  pieces: z.array(z.string()),
});
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** Tokens of one prefix block in the caches of the engines. */
export const prefixBlockTokens = 4096;

/** A generation for an engine to run. */
export interface GenerationTask {
  /** Chosen by the sender; the engine runs each id at most once. */
  readonly id: string;
  readonly model: ModelId;
  readonly prompt: string;
  /**
   * Maximum number of tokens of the whole answer, those of `continuation`
   * included.
   */
  readonly maxTokens: number;
  /** Requests with a larger value run first. */
  readonly priority: number;
  readonly deadline: Deadline;
  /**
   * Text that other engines have generated after `prompt`, to be continued. The
   * first chunk then has an `index` equal to `tokens`.
   */
  readonly continuation?: { readonly text: string; readonly tokens: number };
  /** Engine and generation id from which to import the KV cache. */
  readonly cacheFrom?: { readonly address: string; readonly id: string };
  /** Only prefills the KV cache and keeps it for export. */
  readonly isPrefillOnly?: boolean;
}

/** A part of a generated answer; `index` counts from 0. */
export interface Chunk {
  readonly index: number;
  readonly text: string;
}

/** The end of a stream as the engine reports it. */
export interface StreamEnd {
  readonly reason: 'stop' | 'length' | 'cancelled' | 'moved';
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** One item of the stream of a generation. */
export type StreamItem =
  | { readonly kind: 'chunk'; readonly chunk: Chunk }
  | { readonly kind: 'heartbeat' }
  | { readonly kind: 'end'; readonly end: StreamEnd }
  | { readonly kind: 'failure'; readonly failure: Failure };

/** A command to an engine, which runs at most one at a time. */
export const engineCommandSchema = z.object({
  id: z.string().min(1),
  /** Fencing token of the lease under which the command is sent. */
  fencing: z.number().int().nonnegative(),
  action: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('role'), role: engineRoleSchema }),
    z.object({ kind: z.literal('load'), model: modelIdSchema }),
    z.object({ kind: z.literal('unload'), model: modelIdSchema }),
  ]),
});
export type EngineCommand = z.infer<typeof engineCommandSchema>;
/** The change that a command makes to an engine. */
export type EngineCommandAction = EngineCommand['action'];

/** Status of a command as the engine reports it. */
export const engineCommandStatusSchema = z.object({
  id: z.string(),
  state: z.enum(['running', 'done', 'failed', 'refused']),
  reason: z.string().optional(),
});
export type EngineCommandStatus = z.infer<typeof engineCommandStatusSchema>;

/** Client of one incarnation of a target. */
export abstract class Target {
  abstract readonly name: string;
  abstract readonly incarnation: string;
  abstract readonly dataCenter: string;
  /** `host:port` */
  abstract readonly address: string;

  /** Checks on a new connection whether the target answers. */
  abstract probeHealth(timeoutMs: number): Promise<Either<Failure, void>>;

  /** Closes every connection, for example when they deliver no data. */
  abstract resetConnections(): void;
}

/** A model engine. */
export abstract class Engine extends Target {
  /**
   * Starts a generation and yields its stream until an end or failure. A
   * failure before any byte was sent has `executed: "no"`. Aborting the signal
   * ends the iteration at once but does not cancel the generation.
   */
  abstract generate(
    generation: GenerationTask,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem>;

  /** Yields a running or recently ended stream after chunk index `after`. */
  abstract resumeStream(
    id: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem>;

  abstract cancelGeneration(id: string): Promise<Either<Failure, void>>;

  abstract getLoadReport(): Promise<Either<Failure, LoadReport>>;

  /** Lists cache events with a `sequence` above `after`, maybe with gaps. */
  abstract listCacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>>;

  /**
   * Sends a command; a repeated id has no further effect. Fails with
   * `order_conflict` and `executed: "no"` when the engine rejects the command.
   */
  abstract sendCommand(
    command: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>>;

  /** Returns the status of a command, or fails with `not_found`. */
  abstract getCommandStatus(
    id: string,
  ): Promise<Either<Failure, EngineCommandStatus>>;

  /** Exports the KV cache of a running stream, which then ends as `moved`. */
  abstract exportStream(id: string): Promise<Either<Failure, void>>;
}

/** A call of a plain service. */
export interface ServiceCall {
  readonly id: string;
  readonly customer: string;
  readonly operation: string;
  /** JSON text as the caller sent it. */
  readonly body: string;
  readonly idempotencyKey?: string;
  readonly deadline: Deadline;
}

/** Complete answer of a plain service, which can be stored and replayed. */
export const serviceResponseSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  body: z.string(),
});
export type ServiceResponse = z.infer<typeof serviceResponseSchema>;

/**
 * Client of one target of a plain service, which runs HTTP operations instead
 * of generations.
 */
export abstract class Service extends Target {
  abstract readonly service: string;

  /**
   * Runs a call. A failure has `executed: "no"` only when no byte of the request
   * was sent or the service reported that it did not run the call.
   */
  abstract callOperation(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceResponse>>;
}
