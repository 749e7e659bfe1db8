/** What is refused because it crashes targets, in the form in which it is kept. */
import { z } from 'zod';

import { reportedRequestCrashSchema } from './request-crash.js';
import { reportedCrashSchema } from './target-crash.js';

/** The crashes that show why requests are refused; their ages count from `savedAtMs`. */
export const savedRefusalSchema = z.object({
  /** Epoch milliseconds of the writer's clock. */
  savedAtMs: z.number(),
  requestCrashes: z.array(reportedRequestCrashSchema),
  targetCrashes: z.array(reportedCrashSchema),
});
export type SavedRefusal = z.infer<typeof savedRefusalSchema>;

/** A request, or parts of prompts, that are refused. */
export interface Refusal extends Omit<SavedRefusal, 'savedAtMs'> {
  /** Identifies what is refused. */
  readonly key: string;
  /** True if this instance has seen one of the crashes itself. */
  readonly isOwn: boolean;
}

/** Adds the time since the refusal was saved to the ages of its crashes. */
export const ageRefusal = ({
  savedAtMs,
  requestCrashes,
  targetCrashes,
}: SavedRefusal): Omit<SavedRefusal, 'savedAtMs'> => {
  // The clocks of the writer and of this instance may differ.
  const elapsedMs = Math.max(0, Date.now() - savedAtMs);
  return {
    requestCrashes: requestCrashes.map(
      ([fingerprint, target, startedAtMs, ageMs, idleMs]) => [
        fingerprint,
        target,
        startedAtMs,
        ageMs + elapsedMs,
        idleMs + elapsedMs,
      ],
    ),
    targetCrashes: targetCrashes.map(
      ([target, startedAtMs, ageMs, idleMs, suspects]) => [
        target,
        startedAtMs,
        ageMs + elapsedMs,
        idleMs + elapsedMs,
        suspects,
      ],
    ),
  };
};
