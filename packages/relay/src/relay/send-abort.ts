/** Says in the log and the metrics why a send to a target was aborted. */
import type { RelayDependencies } from './relay-dependencies.js';
import type { RequestContext } from './request-context.js';
import type { AbortReason, SendWatchdog } from './send-watchdog.js';

/** Why a send was aborted: by its watchdog, its deadline or its caller. */
export type SendAbortReason = AbortReason | 'deadline' | 'caller_gone';

/** A send that has ended without an answer. */
export interface EndedSend {
  readonly outcome: { readonly kind: string };
  readonly watchdog: SendWatchdog | undefined;
}

/** Fields of `attempt_failed`; the times are in milliseconds. */
export interface SendAbortFields {
  readonly aborted_by?: SendAbortReason;
  /** Time without progress of the answer, if the watchdog aborted the send. */
  readonly silent_ms?: number;
  /** Delay of this instance's event loop, which may have caused the abort. */
  readonly behind_ms?: number;
}

const findReason = (
  { caller, signal }: RequestContext,
  watchdog: SendWatchdog | undefined,
): SendAbortReason => {
  if (caller.disconnectSignal.aborted) return 'caller_gone';
  if (signal.aborted) return 'deadline';
  return watchdog?.abort?.reason ?? 'deadline';
};

/** Counts an aborted send and returns its log fields; none for other outcomes. */
export const recordSendAbort = (
  { metrics, getEventLoopDelayMs }: RelayDependencies,
  context: RequestContext,
  { outcome, watchdog }: EndedSend,
): SendAbortFields => {
  if (outcome.kind !== 'aborted') return {};
  const reason = findReason(context, watchdog);
  metrics.recordSendAbort(context.service, reason);
  const silentMs = watchdog?.abort?.silentMs;
  return {
    aborted_by: reason,
    silent_ms: silentMs === undefined ? undefined : Math.round(silentMs),
    behind_ms: Math.round(getEventLoopDelayMs()),
  };
};
