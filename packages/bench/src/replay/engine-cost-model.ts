/** Figures of the fake engines, the same for every policy. */
export interface EngineCostModel {
  readonly prefillTokensPerSecond: number;
  /** Fixed part of a decode step. */
  readonly decodeStepMs: number;
  /** Part of a decode step added by each sequence. */
  readonly decodeMsPerSequence: number;
  /** Prompt tokens prefilled in a step that also decodes. */
  readonly mixedChunkTokens: number;
  /** Prompt tokens prefilled in a step that decodes nothing. */
  readonly prefillChunkTokens: number;
  /** Factor on prefill time in a step that also decodes. */
  readonly mixedPrefillFactor: number;
  /** Sequences prefilled or decoded at once. */
  readonly maxSequences: number;
  /** Tokens that the KV cache holds, prefix pieces included. */
  readonly kvCacheTokens: number;
  readonly kvBytesPerToken: number;
  readonly intraDataCenterBytesPerMs: number;
  readonly interDataCenterBytesPerMs: number;
  readonly minReportLagMs: number;
  readonly maxReportLagMs: number;
  /** Time of a role change after the engine has drained. */
  readonly roleChangeMs: number;
  /** Share of cache events that are lost. */
  readonly lostCacheEventShare: number;
}

export const defaultEngineCostModel: EngineCostModel = {
  prefillTokensPerSecond: 9_000,
  decodeStepMs: 18,
  decodeMsPerSequence: 1,
  mixedChunkTokens: 256,
  prefillChunkTokens: 4_096,
  mixedPrefillFactor: 1.15,
  maxSequences: 38,
  kvCacheTokens: 400_000,
  kvBytesPerToken: 160_000,
  intraDataCenterBytesPerMs: 8_000_000,
  interDataCenterBytesPerMs: 4_000_000,
  minReportLagMs: 1_000,
  maxReportLagMs: 2_000,
  roleChangeMs: 8_000,
  lostCacheEventShare: 0.02,
};

/** Time to hand over the KV cache of a prompt. */
export const computeKvTransferMs = (
  model: EngineCostModel,
  tokens: number,
  sameDataCenter: boolean,
): number => {
  const bytesPerMs = sameDataCenter
    ? model.intraDataCenterBytesPerMs
    : model.interDataCenterBytesPerMs;
  return (tokens * model.kvBytesPerToken) / bytesPerMs;
};
