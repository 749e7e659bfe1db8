/** Cost of the prefill of a prompt at one engine. */
import type { Prompt } from '../requests/relay-request.js';
import type { TargetState } from '../targets/target-state.js';

import { findCopySource } from './copy-sources.js';
import type { CopySource } from './copy-sources.js';
import type { PlacementOptions } from './placement-options.js';

/** Cost added to a prefill engine in another data centre, in milliseconds. */
const remotePrefillPenaltyMs = 12;

/** Fixed overhead of a KV cache copy, in addition to the transfer. */
const copyOverheadMs = 10;

/**
 * Cost of a copied token relative to a prefilled one, because a copy evicts other
 * segments from the engine's cache. A factor of 1 would rule out copies.
 */
const copyCostFactor = 0.5;

/** Options of a placement with what is the same for all of its candidates. */
export interface CandidateOptions extends PlacementOptions {
  readonly copySources: readonly CopySource[];
}

/** A possible prefill engine with the cost of its use in milliseconds. */
export interface PrefillCandidate {
  readonly target: TargetState;
  readonly copySource: TargetState | undefined;
  readonly prefillTokens: number;
  readonly prefillMs: number;
  readonly cost: number;
}

/** Prompt tokens that are not in the target's prefix cache; at least 1. */
const countPrefillTokens = (target: TargetState, prompt: Prompt): number =>
  Math.max(
    1,
    prompt.tokens - target.prefixCache.countCachedTokens(prompt.segments),
  );

/**
 * `speedFactor` is the target's prefill speed relative to that of a prefill
 * engine.
 */
export const createPrefillCandidate = (
  target: TargetState,
  options: CandidateOptions,
  speedFactor: number,
): PrefillCandidate => {
  const { prompt, prefillSpeed, transferMsPerToken } = options;
  const source = findCopySource(target, options.copySources, options);
  const copySource = source?.engine;
  const uncachedTokens = countPrefillTokens(target, prompt);
  const copyableTokens = source?.copyableTokens ?? 0;
  const prefillTokens = Math.min(
    uncachedTokens,
    Math.max(1, prompt.tokens - copyableTokens),
  );
  const copyMs =
    copySource === undefined
      ? 0
      : copyOverheadMs + (uncachedTokens - prefillTokens) * transferMsPerToken;
  const msPerToken = target.slowness / speedFactor / prefillSpeed.tokensPerMs;
  const prefillMs =
    (target.pendingPrefillTokens + prefillTokens) * msPerToken + copyMs;
  const evictionCostMs =
    copyCostFactor * (uncachedTokens - prefillTokens) * msPerToken;
  const isRemote = target.record.dataCenter !== options.dataCenter;
  const remotePenaltyMs = isRemote ? remotePrefillPenaltyMs : 0;
  const cost = prefillMs + evictionCostMs + remotePenaltyMs;
  return {
    target,
    copySource,
    prefillTokens,
    prefillMs,
    cost,
  };
};
