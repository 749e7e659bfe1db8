/** Sends whose answers are checked for being complete as they arrive in a sink. */
import { LinkedAbort } from '../shared/linked-abort.js';

import type { CallerSink } from './response-sinks.js';
import type { BrokenConnection } from './target-client.js';

const createBrokenOutcome = (reason: string): BrokenConnection => ({
  kind: 'broken',
  phase: 'answering',
  reason,
});

/**
 * Runs the send with a signal that also aborts at an event without end. A stream that
 * breaks off without an error of the connection is broken as well.
 */
export const runCheckedSend = async <T extends { readonly kind: string }>(
  sink: CallerSink,
  signal: AbortSignal,
  send: (signal: AbortSignal) => Promise<T>,
): Promise<T | BrokenConnection> => {
  const link = new LinkedAbort(signal);
  const answer = { isOverlong: false };
  sink.onOverlongEvent = () => {
    answer.isOverlong = true;
    link.abort();
  };
  const outcome = await send(link.signal);
  link.unlink();
  if (answer.isOverlong)
    return createBrokenOutcome('an event of the stream has no end');
  const truncation = outcome.kind === 'whole' && sink.findTruncation();
  return typeof truncation === 'string'
    ? createBrokenOutcome(truncation)
    : outcome;
};
