/** Targets that serve requests: model engines and plain services. */
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { Failure } from '../shared/failure.js';
import type { Deadline } from '../shared/time.js';

/** Part of the work that an engine does. */
export const engineRoleSchema = z.enum(['mixed', 'prefill', 'decode']);
export type EngineRole = z.infer<typeof engineRoleSchema>;

/** A model as loaded on an engine: `name@version` with optional adapter. */
export const modelIdSchema = z.object({
  name: z.string().min(1),
  version: z.string().min(1),
  adapter: z.string().min(1).optional(),
});
export type ModelId = z.infer<typeof modelIdSchema>;

/** Load of an engine when the report was made, some time ago. */
export const loadReportSchema = z.object({
  /** Epoch milliseconds on the engine's clock. */
  atMs: z.number(),
  role: engineRoleSchema,
  models: z.array(modelIdSchema),
  /** False while the engine changes role or loads weights. */
  accepting: z.boolean(),
  leaving: z.boolean(),
  running: z.number().int().nonnegative(),
  queued: z.number().int().nonnegative(),
  /** Prompt tokens not yet prefilled, queued ones included. */
  prefillTokens: z.number().nonnegative(),
  /** Share of the KV cache in use, 0 to 1. */
  cacheUse: z.number().min(0).max(1),
  slots: z.number().int().positive(),
});
export type LoadReport = z.infer<typeof loadReportSchema>;

/** A change of the prefix cache; a jump of `sequence` means lost events. */
export const cacheEventSchema = z.object({
  sequence: z.number().int().nonnegative(),
  kind: z.enum(['stored', 'evicted', 'cleared']),
  /** Digests of prefix pieces; each covers all pieces before it. */
  pieces: z.array(z.string()),
});
export type CacheEvent = z.infer<typeof cacheEventSchema>;

/** Tokens of one prefix piece in the engines' caches. */
export const prefixBlockTokens = 4096;

/** What an engine is asked to generate. */
export interface GenerationTask {
  /** Chosen by the sender; the engine runs an id once. */
  readonly id: string;
  readonly model: ModelId;
  readonly prompt: string;
  /** Tokens of the whole answer, continued ones included. */
  readonly maxTokens: number;
  /** Larger runs first. */
  readonly priority: number;
  readonly deadline: Deadline;
  /**
   * Text generated so far elsewhere, to be continued after `prompt`. The first
   * chunk then has `index` equal to `tokens`.
   */
  readonly continuation?: { readonly text: string; readonly tokens: number };
  /** KV cache exported by another engine. */
  readonly cacheFrom?: { readonly address: string; readonly id: string };
  /** Only fill the cache and keep it for export. */
  readonly isPrefillOnly?: boolean;
}

/** One piece of a generated answer, in order of `index` from 0. */
export interface Chunk {
  readonly index: number;
  readonly text: string;
}

/** How a stream ended by the engine's own word. */
export interface StreamEnd {
  readonly reason: 'stop' | 'length' | 'cancelled' | 'moved';
  readonly promptTokens: number;
  readonly outputTokens: number;
}

/** Something that arrives on a generation's stream. */
export type StreamItem =
  | { readonly kind: 'chunk'; readonly chunk: Chunk }
  | { readonly kind: 'heartbeat' }
  | { readonly kind: 'end'; readonly end: StreamEnd }
  | { readonly kind: 'failure'; readonly failure: Failure };

/** An order to an engine, at most one unfinished at a time. */
export const engineCommandSchema = z.object({
  id: z.string().min(1),
  /** Fencing number of the lease under which it is sent. */
  fencing: z.number().int().nonnegative(),
  action: z.discriminatedUnion('kind', [
    z.object({ kind: z.literal('role'), role: engineRoleSchema }),
    z.object({ kind: z.literal('load'), model: modelIdSchema }),
    z.object({ kind: z.literal('unload'), model: modelIdSchema }),
  ]),
});
export type EngineCommand = z.infer<typeof engineCommandSchema>;
export type EngineCommandAction = EngineCommand['action'];

/** What an engine says of its last order. */
export const engineCommandStatusSchema = z.object({
  id: z.string(),
  state: z.enum(['running', 'done', 'failed', 'refused']),
  reason: z.string().optional(),
});
export type EngineCommandStatus = z.infer<typeof engineCommandStatusSchema>;

/** A back end, one incarnation of it. */
export abstract class Target {
  abstract readonly name: string;
  abstract readonly incarnation: string;
  abstract readonly dataCenter: string;
  /** `host:port` */
  abstract readonly address: string;

  /** Proves on a new connection that the target answers. */
  abstract probeHealth(timeoutMs: number): Promise<Either<Failure, void>>;

  /** Closes every connection, for instance when they went silent. */
  abstract resetConnections(): void;
}

/** A model engine. */
export abstract class Engine extends Target {
  /**
   * Starts a generation and yields its stream until an end or failure.
   * A failure before anything was sent carries `executed: "no"`. Aborting the
   * signal ends the iteration at once but does not cancel the generation.
   */
  abstract generate(
    generation: GenerationTask,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem>;

  /** Rejoins a running or recently ended stream after chunk `after`. */
  abstract resumeStream(
    id: string,
    after: number,
    signal: AbortSignal,
  ): AsyncIterable<StreamItem>;

  abstract cancelGeneration(id: string): Promise<Either<Failure, void>>;

  abstract getLoadReport(): Promise<Either<Failure, LoadReport>>;

  /** Cache events after `sequence`, possibly with gaps. */
  abstract listCacheEvents(
    after: number,
  ): Promise<Either<Failure, readonly CacheEvent[]>>;

  /**
   * Gives an order; giving the same id again is harmless. `order_conflict`
   * with `executed: "no"` when the engine refuses it.
   */
  abstract sendCommand(
    order: EngineCommand,
  ): Promise<Either<Failure, EngineCommandStatus>>;

  /** Status of the order, or `not_found`. */
  abstract getCommandStatus(
    id: string,
  ): Promise<Either<Failure, EngineCommandStatus>>;

  /** Moves a running stream's cache away; the stream ends as `moved`. */
  abstract exportStream(id: string): Promise<Either<Failure, void>>;
}

/** A call of a plain service. */
export interface ServiceCall {
  readonly id: string;
  readonly customer: string;
  readonly operation: string;
  /** JSON text, passed on as it came. */
  readonly body: string;
  readonly idempotencyKey?: string;
  readonly deadline: Deadline;
}

/** Whole answer of a plain service, kept for repeats. */
export const serviceResponseSchema = z.object({
  status: z.number().int(),
  contentType: z.string(),
  body: z.string(),
});
export type ServiceResponse = z.infer<typeof serviceResponseSchema>;

/** A plain service. */
export abstract class Service extends Target {
  abstract readonly service: string;

  /**
   * Runs a call. A failure carries `executed: "no"` only when no byte of the
   * request left or the service said that it did not run it.
   */
  abstract callOperation(
    call: ServiceCall,
    signal: AbortSignal,
  ): Promise<Either<Failure, ServiceResponse>>;
}
