/** What became of one request of a trace. */
import type { ResultName } from '@medlarlever/core';

import type { TraceRequest } from './trace.js';

/**
 * `good`: the whole answer within its deadline; `late`: the deadline passed;
 * `refused`: never run; `lost`: no engine was left to run it again.
 */
export type Verdict = 'good' | 'late' | 'refused' | 'lost';

export interface RequestOutcome {
  readonly request: TraceRequest;
  readonly verdict: Verdict;
  /** Result of a refusal. */
  readonly code?: ResultName;
  /** Time from arrival to the first token. */
  readonly firstTokenMs?: number;
  /** Mean time between the tokens of the answer. */
  readonly tokenGapMs?: number;
  /** The prefill ran on another engine than the decode. */
  readonly isSplit: boolean;
}
