/** Sends whose answers are checked for being complete as they arrive in a sink. */
import { LinkedAbort } from '../shared/linked-abort.js';

import { EventPartClock } from './event-stall.js';
import type { CallerSink } from './response-sinks.js';
import type { BrokenConnection } from './target-client.js';

const createBrokenOutcome = (reason: string): BrokenConnection => ({
  kind: 'broken',
  phase: 'answering',
  reason,
});

/** Options of a checked send. */
export interface CheckedSendOptions {
  readonly sink: CallerSink;
  readonly signal: AbortSignal;
  /** Time that the parts of one event may take; without it, only its length is bounded. */
  readonly maxEventMs?: number;
}

/**
 * Runs the send with a signal that also aborts at an event without end: one that is too
 * long, or whose parts come for too long. Silence is none. A stream that breaks off without
 * an error of the connection is broken as well.
 */
export const runCheckedSend = async <T extends { readonly kind: string }>(
  { sink, signal, maxEventMs = Infinity }: CheckedSendOptions,
  send: (signal: AbortSignal) => Promise<T>,
): Promise<T | BrokenConnection> => {
  const link = new LinkedAbort(signal);
  const answer = { isEndless: false };
  const endAnswer = () => {
    answer.isEndless = true;
    link.abort();
  };
  const partClock = new EventPartClock();
  sink.onOverlongEvent = endAnswer;
  sink.onEventPart = () => {
    if (partClock.recordPart() >= maxEventMs) endAnswer();
  };
  sink.onEvent = () => {
    partClock.recordEvent();
  };
  const outcome = await send(link.signal);
  link.unlink();
  if (answer.isEndless)
    return createBrokenOutcome('an event of the stream has no end');
  const truncation = outcome.kind === 'whole' && sink.findTruncation();
  return typeof truncation === 'string'
    ? createBrokenOutcome(truncation)
    : outcome;
};
