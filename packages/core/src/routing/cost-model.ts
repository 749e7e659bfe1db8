/** Estimates the time in milliseconds that an engine needs for a request. */
import { z } from 'zod';

import { prefixBlockTokens } from '../target/target.js';

import type { LoadEstimate } from './load-estimator.js';
import type { CachedPrefix } from './prefix-index.js';

/** Schema of the engine speeds in the settings of the deployment. */
export const engineSpeedSchema = z.object({
  prefill_tokens_per_second: z.number().positive().default(8_000),
  /** Duration of a decode step with one request in the batch. */
  decode_step_ms: z.number().positive().default(20),
  /**
   * Milliseconds that each further request in the batch adds to a decode step.
   */
  decode_step_request_ms: z.number().nonnegative().default(0.5),
  /** Time to transfer the KV cache of one prompt token to another engine. */
  handover_ms_per_token: z.number().nonnegative().default(0.02),
  /** Time added to the cost of an engine in another data centre. */
  cross_center_ms: z.number().nonnegative().default(10),
});
export type EngineSpeed = z.infer<typeof engineSpeedSchema>;

/**
 * Part of a request that one engine runs: all of it, the prefill or the decode.
 */
export type Stage = 'whole' | 'prefill' | 'decode';

/** Size of one request and the stage to run. */
export interface RequestWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly stage: Stage;
}

/**
 * Fraction that counts as cached of a prefix block which may have been evicted.
 */
const uncertainBlockWeight = 0.5;

/**
 * Slowdown of prefill on an engine that also decodes and therefore prefills in
 * small chunks.
 */
const chunkedPrefillFactor = 2;

/**
 * Fraction of the KV cache in use above which a new prompt evicts blocks that
 * running requests need.
 */
const evictionCacheUse = 0.95;

/** Slowdown of prefill while the cache evicts blocks. */
const evictionPrefillFactor = 1.5;

/**
 * Estimates how many prompt tokens the engine has to prefill; 0 for the decode
 * stage.
 */
export const countUncachedTokens = (
  work: RequestWork,
  cached: CachedPrefix,
): number => {
  if (work.stage === 'decode') return 0;
  const effectiveBlocks =
    cached.blocks - cached.uncertainBlocks * (1 - uncertainBlockWeight);
  return Math.max(0, work.promptTokens - effectiveBlocks * prefixBlockTokens);
};

const estimatePrefillMs = (tokens: number, speed: EngineSpeed): number =>
  (tokens / speed.prefill_tokens_per_second) * 1_000;

const estimateDecodeMs = (
  tokens: number,
  requests: number,
  speed: EngineSpeed,
): number =>
  tokens * (speed.decode_step_ms + speed.decode_step_request_ms * requests);

/**
 * Estimates the time until a slot is free, assuming that a full batch completes
 * all its requests once per request duration.
 */
const estimateSlotWaitMs = (
  work: RequestWork,
  load: LoadEstimate,
  speed: EngineSpeed,
): number => {
  const { slots } = load.report;
  const excessRequests = load.requests - slots + 1;
  if (excessRequests <= 0) return 0;
  return (
    (excessRequests / slots) * estimateDecodeMs(work.outputTokens, slots, speed)
  );
};

const computePrefillFactor = (
  work: RequestWork,
  load: LoadEstimate,
): number => {
  const evictionFactor =
    load.report.cacheUse > evictionCacheUse ? evictionPrefillFactor : 1;
  const isDecoding = load.report.role === 'decode' || load.requests > 0;
  const isChunked = work.stage === 'whole' && isDecoding;
  return isChunked ? evictionFactor * chunkedPrefillFactor : evictionFactor;
};

/**
 * Estimates the time in milliseconds that the request waits before the engine
 * starts to process it.
 */
export const estimateWaitMs = (
  work: RequestWork,
  load: LoadEstimate,
  speed: EngineSpeed,
): number => {
  const backlogMs =
    work.stage === 'decode' ? 0 : estimatePrefillMs(load.prefillTokens, speed);
  const slotWaitMs =
    work.stage === 'prefill' ? 0 : estimateSlotWaitMs(work, load, speed);
  return backlogMs + slotWaitMs;
};

/**
 * Estimates the total time in milliseconds of a request on an engine: waiting,
 * prefill of uncached tokens, decode at the current batch size, and KV cache
 * transfer.
 */
export const estimateCostMs = (
  work: RequestWork,
  load: LoadEstimate,
  cached: CachedPrefix,
  speed: EngineSpeed,
): number => {
  const prefillMs = estimatePrefillMs(countUncachedTokens(work, cached), speed);
  const decodeMs =
    work.stage === 'prefill'
      ? 0
      : estimateDecodeMs(
          work.outputTokens,
          Math.min(load.requests, load.report.slots),
          speed,
        );
  const handoverMs =
    work.stage === 'decode'
      ? work.promptTokens * speed.handover_ms_per_token
      : 0;
  return (
    estimateWaitMs(work, load, speed) +
    prefillMs * computePrefillFactor(work, load) +
    decodeMs +
    handoverMs
  );
};
