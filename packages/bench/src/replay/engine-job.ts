/** Work that a fake engine runs. */
import type { Stage } from '@medlarlever/core';

export interface JobRequest {
  readonly pieces: readonly string[];
  readonly promptTokens: number;
  readonly outputTokens: number;
  readonly priority: number;
  readonly stage: Stage;
  /** The job is dropped once this has passed. */
  readonly deadlineAtMs: number;
  /** Told when the first token is out. */
  readonly onFirstToken?: () => void;
  /** Told of the gap before each further token, in milliseconds. */
  readonly onGap?: (gapMs: number) => void;
}

/** `lost` when the engine broke off, `late` when the deadline passed. */
export type JobEnd = 'done' | 'lost' | 'late';

export interface Job {
  readonly request: JobRequest;
  readonly arrival: number;
  /** Prompt tokens still to prefill; known once the prefill began. */
  prefillLeft: number;
  started: boolean;
  /** Tokens of KV cache held, those of shared pieces not counted. */
  heldTokens: number;
  outputLeft: number;
  lastTokenAtMs: number;
  readonly end: (end: JobEnd) => void;
}

/** Higher priority first, then the order of arrival. */
export const compareJobs = (a: Job, b: Job): number =>
  b.request.priority - a.request.priority || a.arrival - b.arrival;
