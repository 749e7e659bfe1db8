/** Figures of the fake engines, the same for every policy. */
export interface EngineModel {
  readonly prefillTokensPerSecond: number;
  /** Fixed part of a decode step. */
  readonly decodeStepMs: number;
  /** Part of a decode step added by each sequence. */
  readonly decodeSequenceMs: number;
  /** Prompt tokens prefilled in a step that also decodes. */
  readonly mixedChunkTokens: number;
  /** Prompt tokens prefilled in a step that decodes nothing. */
  readonly prefillChunkTokens: number;
  /** Factor on prefill time in a step that also decodes. */
  readonly interference: number;
  /** Sequences prefilled or decoded at once. */
  readonly slots: number;
  /** Tokens that the KV cache holds, prefix pieces included. */
  readonly cacheTokens: number;
  readonly kvBytesPerToken: number;
  readonly localBytesPerMs: number;
  readonly remoteBytesPerMs: number;
  readonly minLagMs: number;
  readonly maxLagMs: number;
  /** Time of a role change after the engine has drained. */
  readonly roleChangeMs: number;
  /** Share of cache events that are lost. */
  readonly lostEventShare: number;
}

export const defaultEngineModel: EngineModel = {
  prefillTokensPerSecond: 9_000,
  decodeStepMs: 18,
  decodeSequenceMs: 1,
  mixedChunkTokens: 256,
  prefillChunkTokens: 4_096,
  interference: 1.15,
  slots: 38,
  cacheTokens: 400_000,
  kvBytesPerToken: 160_000,
  localBytesPerMs: 8_000_000,
  remoteBytesPerMs: 4_000_000,
  minLagMs: 1_000,
  maxLagMs: 2_000,
  roleChangeMs: 8_000,
  lostEventShare: 0.02,
};

/** Time to hand over the KV cache of a prompt. */
export const handOverMs = (
  model: EngineModel,
  tokens: number,
  sameDataCenter: boolean,
): number => {
  const bytesPerMs = sameDataCenter
    ? model.localBytesPerMs
    : model.remoteBytesPerMs;
  return (tokens * model.kvBytesPerToken) / bytesPerMs;
};
