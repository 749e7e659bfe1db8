/** Sends whose answers are checked for being complete as they arrive in a sink. */
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
  const overlong = new AbortController();
  sink.onOverlongEvent = () => {
    overlong.abort();
  };
  const outcome = await send(AbortSignal.any([signal, overlong.signal]));
  if (overlong.signal.aborted)
    return createBrokenOutcome('an event of the stream has no end');
  const truncation = outcome.kind === 'whole' && sink.findTruncation();
  return typeof truncation === 'string'
    ? createBrokenOutcome(truncation)
    : outcome;
};
