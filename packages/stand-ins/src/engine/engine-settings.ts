/** Settings and injectable faults of a simulated engine. */
import { modelIdSchema, engineRoleSchema } from '@medlarlever/core';
import type { LoadReport } from '@medlarlever/core';
import { z } from 'zod';

/**
 * Settings of a simulated engine; names ending in `Ms` are durations in
 * milliseconds.
 */
export const engineSettingsSchema = z.object({
  name: z.string().min(1).default('engine-1'),
  role: engineRoleSchema.default('mixed'),
  models: z
    .array(modelIdSchema)
    .default([{ name: 'style-base', version: '1', adapter: undefined }]),
  /** Maximum number of generations that run at the same time. */
  slots: z.number().int().positive().default(16),
  prefillTokensPerSecond: z.number().positive().default(20_000),
  /** Maximum number of prompt tokens that one step prefills. */
  prefillStepTokens: z.number().int().positive().default(2_048),
  /**
   * Duration of a decode step, which generates one token for each running
   * generation.
   */
  decodeMs: z.number().nonnegative().default(20),
  /** Rate at which the KV cache of another engine is imported. */
  importTokensPerSecond: z.number().positive().default(400_000),
  /** Capacity of the prefix cache in blocks. */
  cachePieces: z.number().int().nonnegative().default(256),
  /** Delay after which load reports show a change. */
  loadLagMs: z.number().nonnegative().default(500),
  /** Delay after which cache events are visible. */
  cacheLagMs: z.number().nonnegative().default(500),
  /** One cache event in this many is lost; 0 loses none. */
  cacheGapEvery: z.number().int().nonnegative().default(0),
  roleChangeMs: z.number().nonnegative().default(3_000),
  loadModelMs: z.number().nonnegative().default(2_000),
  /**
   * Whether the engine refuses commands (`orders` on the wire) whose fencing
   * token is lower than the highest one seen, and commands that arrive while
   * another one runs.
   */
  checksFencing: z.boolean().default(true),
  /** Interval between the heartbeats of a stream. */
  heartbeatMs: z.number().positive().default(1_000),
});
/** Settings with all defaults applied. */
export type EngineSettings = z.infer<typeof engineSettingsSchema>;
/** Settings as given by the caller; omitted values get their defaults. */
export type EngineOptions = z.input<typeof engineSettingsSchema>;

/** Faults of an engine; all off by default. */
export interface EngineFaults {
  /**
   * The engine crashes when the prefill of a prompt that contains this text
   * starts.
   */
  crashOn: string | undefined;
  /** Generations make no progress and calls get no answer. */
  hang: boolean;
  /** New generations are refused without being executed. */
  refuse: boolean;
  /** Factor by which the duration of every step is multiplied. */
  slowFactor: number;
  /** Values that replace those in the load report. */
  lie: Partial<LoadReport> | undefined;
  /** The load report states that the engine is leaving. */
  leaving: boolean;
  /**
   * The engine crashes during the next order, a quarter of `roleChangeMs` after
   * its start.
   */
  crashInOrder: boolean;
  /** Number of further orders that take effect but whose answer is lost. */
  loseOrderAnswers: number;
  /** Neighbouring chunks are swapped and some chunks are duplicated. */
  reordersChunks: boolean;
}

/** Creates faults that are all off. */
export const createEngineFaults = (): EngineFaults => ({
  crashOn: undefined,
  hang: false,
  refuse: false,
  slowFactor: 1,
  lie: undefined,
  leaving: false,
  crashInOrder: false,
  loseOrderAnswers: 0,
  reordersChunks: false,
});
