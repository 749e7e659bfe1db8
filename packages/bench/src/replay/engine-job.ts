/** Work that a fake engine runs. */
import type { Stage } from '@medlarlever/core';

export interface EngineJobRequest {
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly stage: Stage;
  /** The job is dropped once this has passed. */
  readonly deadlineAtMs: number;
  /** Told when the first token is out. */
  readonly onFirstToken?: () => void;
  /** Told of the gap before each further token, in milliseconds. */
  readonly onTokenGap?: (gapMs: number) => void;
}

/** `lost` when the engine broke off, `late` when the deadline passed. */
export type JobOutcome = 'done' | 'lost' | 'late';

export interface EngineJob {
  readonly request: EngineJobRequest;
  readonly arrivalNumber: number;
  /** Prompt tokens still to prefill; known once the prefill began. */
  remainingPrefillTokens: number;
  isStarted: boolean;
  /** Tokens of KV cache held, those of shared pieces not counted. */
  heldKvTokens: number;
  remainingOutputTokens: number;
  lastTokenAtMs: number;
  readonly completeJob: (end: JobOutcome) => void;
}

/** Higher priority first, then the order of arrival. */
export const compareJobs = (a: EngineJob, b: EngineJob): number =>
  b.request.priority - a.request.priority || a.arrivalNumber - b.arrivalNumber;
