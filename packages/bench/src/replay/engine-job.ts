/** Jobs of a simulated engine. */
import type { Stage } from '@medlarlever/core';

/** A job as an entry instance submits it to an engine. */
export interface EngineJobRequest {
  /** Ids of the prefix blocks of the prompt, in prompt order. */
  readonly blocks: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  /** A job with a larger number starts first. */
  readonly priority: number;
  readonly stage: Stage;
  /** Deadline on the replay's clock (`Date.now()`); later, the job is cancelled. */
  readonly deadlineAtMs: number;
  /** Called when the first output token has been generated. */
  readonly onFirstToken?: () => void;
  /** Called for each further token with the milliseconds since the token before. */
  readonly onTokenGap?: (gapMs: number) => void;
}

/** `done`: completed; `lost`: the engine failed; `late`: the deadline passed. */
export type JobOutcome = 'done' | 'lost' | 'late';

/** State of a job on an engine. */
export interface EngineJob {
  readonly request: EngineJobRequest;
  /** Number of the job in the order of submission, from 1. */
  readonly arrivalNumber: number;
  /**
   * Prompt tokens still to prefill. The cached part of the prompt is subtracted
   * when the job starts.
   */
  remainingPrefillTokens: number;
  /** True once the job has a batch slot and reserved KV cache memory. */
  isStarted: boolean;
  /** KV cache tokens reserved for the job, without cached prefix blocks. */
  heldKvTokens: number;
  remainingOutputTokens: number;
  /** Time of the latest output token on the replay's clock (`Date.now()`). */
  lastTokenAtMs: number;
  readonly completeJob: (outcome: JobOutcome) => void;
}

/** Sorts jobs by descending priority, then by order of submission. */
export const compareJobs = (a: EngineJob, b: EngineJob): number =>
  b.request.priority - a.request.priority || a.arrivalNumber - b.arrivalNumber;
