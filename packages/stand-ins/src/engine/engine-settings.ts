/** What a simulated engine is like and which faults it has. */
import { modelIdSchema, engineRoleSchema } from '@medlarlever/core';
import type { LoadReport } from '@medlarlever/core';
import { z } from 'zod';

export const engineSettingsSchema = z.object({
  name: z.string().min(1).default('engine-1'),
  role: engineRoleSchema.default('mixed'),
  models: z
    .array(modelIdSchema)
    .default([{ name: 'style-base', version: '1', adapter: undefined }]),
  /** Generations that decode together. */
  slots: z.number().int().positive().default(16),
  prefillTokensPerSecond: z.number().positive().default(20_000),
  /** Prompt tokens that one step prefills at most. */
  prefillStepTokens: z.number().int().positive().default(2_048),
  decodeMs: z.number().nonnegative().default(20),
  /** Speed of importing a KV cache. */
  importTokensPerSecond: z.number().positive().default(400_000),
  /** Pieces that the prefix cache holds. */
  cachePieces: z.number().int().nonnegative().default(256),
  loadLagMs: z.number().nonnegative().default(500),
  cacheLagMs: z.number().nonnegative().default(500),
  /** Every so many cache events one is lost; 0 loses none. */
  cacheGapEvery: z.number().int().nonnegative().default(0),
  roleChangeMs: z.number().nonnegative().default(3_000),
  loadModelMs: z.number().nonnegative().default(2_000),
  /** Refuses orders with an older fencing number. */
  checksFencing: z.boolean().default(true),
  heartbeatMs: z.number().positive().default(1_000),
});
export type EngineSettings = z.infer<typeof engineSettingsSchema>;
export type EngineOptions = z.input<typeof engineSettingsSchema>;

/** Faults of an engine; all off by default. */
export interface EngineFaults {
  /** A prompt with this text crashes the engine when its prefill starts. */
  crashOn: string | undefined;
  /** Nothing moves and nobody is answered. */
  hang: boolean;
  /** New work is refused unrun. */
  refuse: boolean;
  /** Every step takes this many times longer. */
  slowFactor: number;
  /** Overrides parts of the load report. */
  lie: Partial<LoadReport> | undefined;
  /** The load report says that the engine leaves. */
  leaving: boolean;
  /** Crashes halfway through the next order. */
  crashInOrder: boolean;
  /** Answers of orders to come that are lost after the effect. */
  loseOrderAnswers: number;
  /** Chunks arrive doubled and in swapped pairs. */
  reordersChunks: boolean;
}

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
