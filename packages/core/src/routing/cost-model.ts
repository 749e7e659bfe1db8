/** Estimated time that an engine would take for a request. */
import { z } from 'zod';

import { prefixBlockTokens } from '../target/target.js';

import type { LoadEstimate } from './load-estimator.js';
import type { CachedPrefix } from './prefix-index.js';

/** Speeds of the deployment's engines, from its settings. */
export const engineSpeedSchema = z.object({
  prefill_tokens_per_second: z.number().positive().default(8_000),
  /** Time of a decode step with one request. */
  decode_step_ms: z.number().positive().default(20),
  /** Added to the step by each further request. */
  decode_step_request_ms: z.number().nonnegative().default(0.5),
  /** Time to hand over the KV cache of one prompt token. */
  handover_ms_per_token: z.number().nonnegative().default(0.02),
  /** Added for an engine in another data centre. */
  cross_center_ms: z.number().nonnegative().default(10),
});
export type EngineSpeed = z.infer<typeof engineSpeedSchema>;

/** Part of the request that an engine is asked to run. */
export type Stage = 'whole' | 'prefill' | 'decode';

/** The work of one request. */
export interface RequestWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly stage: Stage;
}

/** Share of a doubtful piece that counts as cached. */
const uncertainBlockWeight = 0.5;

/** Slowdown of prefill in the small chunks of an engine that also decodes. */
const chunkedPrefillFactor = 2;

/** Cache use above which new prompts evict what running ones need. */
const evictionCacheUse = 0.95;

/** Factor on the prefill when the cache is full. */
const evictionPrefillFactor = 1.5;

/** Prompt tokens that remain to be prefilled. */
export const countUncachedTokens = (
  work: RequestWork,
  cached: CachedPrefix,
): number => {
  if (work.stage === 'decode') return 0;
  const pieces =
    cached.blocks - cached.uncertainBlocks * (1 - uncertainBlockWeight);
  return Math.max(0, work.promptTokens - pieces * prefixBlockTokens);
};

const estimatePrefillMs = (tokens: number, speed: EngineSpeed): number =>
  (tokens / speed.prefill_tokens_per_second) * 1_000;

const estimateDecodeMs = (
  tokens: number,
  requests: number,
  speed: EngineSpeed,
): number =>
  tokens * (speed.decode_step_ms + speed.decode_step_request_ms * requests);

/** Time until a slot is free; a full batch turns over once per answer. */
const estimateSlotWaitMs = (
  work: RequestWork,
  load: LoadEstimate,
  speed: EngineSpeed,
): number => {
  const { slots } = load.report;
  const excess = load.requests - slots + 1;
  if (excess <= 0) return 0;
  return (excess / slots) * estimateDecodeMs(work.outputTokens, slots, speed);
};

const computePrefillFactor = (
  work: RequestWork,
  load: LoadEstimate,
): number => {
  const evicts =
    load.report.cacheUse > evictionCacheUse ? evictionPrefillFactor : 1;
  const decodes = load.report.role === 'decode' || load.requests > 0;
  const chunked = work.stage === 'whole' && decodes;
  return chunked ? evicts * chunkedPrefillFactor : evicts;
};

/** Time the request would wait before any work on it. */
export const estimateWaitMs = (
  work: RequestWork,
  load: LoadEstimate,
  speed: EngineSpeed,
): number => {
  const backlog =
    work.stage === 'decode' ? 0 : estimatePrefillMs(load.prefillTokens, speed);
  const slot =
    work.stage === 'prefill' ? 0 : estimateSlotWaitMs(work, load, speed);
  return backlog + slot;
};

/** Waiting, uncached prefill and decode at the batch size it would join. */
export const estimateCostMs = (
  work: RequestWork,
  load: LoadEstimate,
  cached: CachedPrefix,
  speed: EngineSpeed,
): number => {
  const prefill = estimatePrefillMs(countUncachedTokens(work, cached), speed);
  const decode =
    work.stage === 'prefill'
      ? 0
      : estimateDecodeMs(
          work.outputTokens,
          Math.min(load.requests, load.report.slots),
          speed,
        );
  const handover =
    work.stage === 'decode'
      ? work.promptTokens * speed.handover_ms_per_token
      : 0;
  return (
    estimateWaitMs(work, load, speed) +
    prefill * computePrefillFactor(work, load) +
    decode +
    handover
  );
};
