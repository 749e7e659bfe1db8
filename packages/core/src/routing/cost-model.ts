/** Estimated time that an engine would take for a request. */
import { z } from 'zod';

import { pieceTokens } from '../target/target.js';

import type { LoadEstimate } from './load-estimator.js';
import type { CachedPrefix } from './prefix-index.js';

/** Speeds of the deployment's engines, from its settings. */
export const routingSpeedSchema = z.object({
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
export type RoutingSpeed = z.infer<typeof routingSpeedSchema>;

/** Part of the request that an engine is asked to run. */
export type Stage = 'whole' | 'prefill' | 'decode';

/** The work of one request. */
export interface RoutedWork {
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly stage: Stage;
}

/** Share of a doubtful piece that counts as cached. */
const doubtfulShare = 0.5;

/** Slowdown of prefill in the small chunks of an engine that also decodes. */
const decodingPrefillFactor = 2;

/** Cache use above which new prompts evict what running ones need. */
const fullCacheUse = 0.95;

/** Factor on the prefill when the cache is full. */
const fullCacheFactor = 1.5;

/** Prompt tokens that remain to be prefilled. */
export const uncachedTokens = (
  work: RoutedWork,
  cached: CachedPrefix,
): number => {
  if (work.stage === 'decode') return 0;
  const pieces = cached.pieces - cached.doubtful * (1 - doubtfulShare);
  return Math.max(0, work.promptTokens - pieces * pieceTokens);
};

const prefillMs = (tokens: number, speed: RoutingSpeed): number =>
  (tokens / speed.prefill_tokens_per_second) * 1_000;

const decodeMs = (
  tokens: number,
  requests: number,
  speed: RoutingSpeed,
): number =>
  tokens * (speed.decode_step_ms + speed.decode_step_request_ms * requests);

/** Time until a slot is free; a full batch turns over once per answer. */
const slotWaitMs = (
  work: RoutedWork,
  load: LoadEstimate,
  speed: RoutingSpeed,
): number => {
  const { slots } = load.report;
  const excess = load.requests - slots + 1;
  if (excess <= 0) return 0;
  return (excess / slots) * decodeMs(work.outputTokens, slots, speed);
};

const prefillFactor = (work: RoutedWork, load: LoadEstimate): number => {
  const evicts = load.report.cacheUse > fullCacheUse ? fullCacheFactor : 1;
  const decodes = load.report.role === 'decode' || load.requests > 0;
  const chunked = work.stage === 'whole' && decodes;
  return chunked ? evicts * decodingPrefillFactor : evicts;
};

/** Time the request would wait before any work on it. */
export const waitMs = (
  work: RoutedWork,
  load: LoadEstimate,
  speed: RoutingSpeed,
): number => {
  const backlog =
    work.stage === 'decode' ? 0 : prefillMs(load.prefillTokens, speed);
  const slot = work.stage === 'prefill' ? 0 : slotWaitMs(work, load, speed);
  return backlog + slot;
};

/** Waiting, uncached prefill and decode at the batch size it would join. */
export const costMs = (
  work: RoutedWork,
  load: LoadEstimate,
  cached: CachedPrefix,
  speed: RoutingSpeed,
): number => {
  const prefill = prefillMs(uncachedTokens(work, cached), speed);
  const decode =
    work.stage === 'prefill'
      ? 0
      : decodeMs(
          work.outputTokens,
          Math.min(load.requests, load.report.slots),
          speed,
        );
  const handover =
    work.stage === 'decode'
      ? work.promptTokens * speed.handover_ms_per_token
      : 0;
  return (
    waitMs(work, load, speed) +
    prefill * prefillFactor(work, load) +
    decode +
    handover
  );
};
