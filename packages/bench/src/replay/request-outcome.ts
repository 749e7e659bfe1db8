/** Outcome of one request of a trace. */
import type { ResultName } from '@medlarlever/core';

import type { TraceRequest } from './trace.js';

/**
 * `good`: answered completely before the deadline; `late`: the deadline passed;
 * `refused`: rejected at admission; `lost`: all attempts failed.
 */
export type Verdict = 'good' | 'late' | 'refused' | 'lost';

/** Verdict and latency of a request. */
export interface RequestOutcome {
  readonly request: TraceRequest;
  readonly verdict: Verdict;
  /** Result code of a refused request. */
  readonly code?: ResultName;
  /** Milliseconds from arrival to the first token, if there was one. */
  readonly firstTokenMs?: number;
  /** Mean milliseconds between the tokens, if there were at least two. */
  readonly tokenGapMs?: number;
  /** True if prefill and decode ran as separate stages. */
  readonly isSplit: boolean;
}
