/** The failure of a prompt with a part that crashes targets. */
import { Failure } from '@medlarlever/core';

import type { CrashCause } from './crash-cause.js';

/** Retry delay for the caller of a prompt that crashes targets. */
const poisonPromptRetryAfterMs = 5_000;

/** Creates the failure; a request that was sent before may have run. */
export const createPoisonPromptFailure = (
  { parts, crashes }: CrashCause,
  mayHaveExecuted: boolean,
): Failure => {
  const reason = `${crashes.length} targets crashed when they began to answer prompts with the same part (${parts.join(', ')})`;
  return mayHaveExecuted
    ? new Failure('target_failed', reason, { executed: 'unknown' })
    : new Failure('poison_prompt', reason, {
        retryAfterMs: poisonPromptRetryAfterMs,
      });
};
