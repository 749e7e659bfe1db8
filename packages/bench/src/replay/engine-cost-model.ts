/** Speeds, capacities and delays of the simulated engines of a replay. */

/** Cost model of a simulated engine; all policies are replayed with the same one. */
export interface EngineCostModel {
  readonly prefillTokensPerSecond: number;
  /** Fixed part of the duration of a decode step, in milliseconds. */
  readonly decodeStepMs: number;
  /** Milliseconds that each decoding sequence adds to a decode step. */
  readonly decodeMsPerSequence: number;
  /** Maximum prompt tokens prefilled in a step that also decodes. */
  readonly mixedChunkTokens: number;
  /** Maximum prompt tokens prefilled in a step without decoding sequences. */
  readonly prefillChunkTokens: number;
  /** Factor on the prefill time of a step that also decodes. */
  readonly mixedPrefillFactor: number;
  /** Maximum number of sequences prefilled or decoded at the same time. */
  readonly maxSequences: number;
  /** Capacity of the KV cache in tokens, cached prefix blocks included. */
  readonly kvCacheTokens: number;
  readonly kvBytesPerToken: number;
  readonly intraDataCenterBytesPerMs: number;
  readonly interDataCenterBytesPerMs: number;
  /** Minimum age of a load report when an instance reads it. */
  readonly minReportLagMs: number;
  /** Maximum age of a load report when an instance reads it. */
  readonly maxReportLagMs: number;
  /** Milliseconds from the end of the drain to the start of the new role. */
  readonly roleChangeMs: number;
  /** Probability (0 to 1) that a listing of cache events omits an event. */
  readonly lostCacheEventShare: number;
}

/** Default cost model of a replay. */
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

/** Milliseconds to transfer the KV cache of `tokens` tokens between engines. */
export const computeKvTransferMs = (
  model: EngineCostModel,
  tokens: number,
  isSameDataCenter: boolean,
): number => {
  const bytesPerMs = isSameDataCenter
    ? model.intraDataCenterBytesPerMs
    : model.interDataCenterBytesPerMs;
  return (tokens * model.kvBytesPerToken) / bytesPerMs;
};
