/** Interface for requests to targets; implementations define the protocol. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type {
  ResponseHead,
  PromptSegment,
  RelayRequest,
} from '../requests/relay-request.js';
import type { ProbeResult } from '../targets/target-probe.js';
import type { TargetRecord } from '../targets/target-record.js';

/** Refers to the KV cache of a prompt that a prefill engine holds for others. */
export interface KvCacheHandle {
  /** Address of the engine that holds the KV cache, as `ip:port`. */
  readonly address: string;
  /** Identifies the KV cache at that engine. */
  readonly handle: string;
}

/** Options of a send or prefill. */
export interface SendOptions {
  /** Milliseconds from now to the deadline, passed on to the target. */
  readonly remainingMs: number;
  /** Level for the engine's admission: 0 is the most urgent, 9 the least. */
  readonly urgency?: number;
  readonly kvCacheHandle?: KvCacheHandle;
  /** Address of the engine from which cached prompt segments are copied. */
  readonly copySourceAddress?: string;
  /** Id of the event after which the stream continues. */
  readonly resumeAfterEventId?: string;
  /** Aborts the request and closes its connection. */
  readonly signal: AbortSignal;
}

/** Receives the answer of a target as it arrives. */
export abstract class ResponseSink {
  /** Returns false to decline the answer; its body is then discarded. */
  abstract onHead(head: ResponseHead): boolean;
  /** Returns false to pause the data until `waitForDrain` resolves. */
  abstract onData(chunk: Buffer): boolean;
  abstract waitForDrain(): Promise<void>;
}

/** The target reported that it has not executed the request. */
export interface NotExecuted {
  readonly kind: 'not_executed';
  readonly status: number;
  /** True when a different target answers at the address. */
  readonly misdirected: boolean;
  /** True if the target also asked for no further requests for a while. */
  readonly wantsQuiet: boolean;
}

/** The connection failed before the answer was complete. */
export interface BrokenConnection {
  readonly kind: 'broken';
  /**
   * `connecting`: no byte of the request was sent; `sent`: the answer had not begun;
   * `answering`: the answer had begun.
   */
  readonly phase: 'connecting' | 'sent' | 'answering';
  readonly reason: string;
}

/**
 * Outcome of a send: `whole` when the answer arrived completely, `declined` when the
 * sink declined it, `aborted` when the signal aborted the send.
 */
export type SendOutcome =
  | { readonly kind: 'whole'; readonly status: number }
  | { readonly kind: 'declined'; readonly status: number }
  | { readonly kind: 'aborted' }
  | NotExecuted
  | BrokenConnection;

/**
 * Outcome of a prefill: `read` on success, `failed` for an error status, `aborted`
 * when the signal aborted the prefill.
 */
export type PrefillOutcome =
  | { readonly kind: 'read'; readonly handover: KvCacheHandle }
  | { readonly kind: 'failed'; readonly status: number }
  | { readonly kind: 'aborted' }
  | NotExecuted
  | BrokenConnection;

/** Sends requests and probes to targets and manages the connections. */
export abstract class TargetClient {
  /** Computes the KV cache of the request's prompt without decoding. */
  abstract prefill(
    target: TargetRecord,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<PrefillOutcome>;

  /** Sends the request once and passes the answer to the sink. */
  abstract send(
    target: TargetRecord,
    request: RelayRequest,
    options: SendOptions,
    sink: ResponseSink,
  ): Promise<SendOutcome>;

  /** Probes the target on a new connection; never rejects. */
  abstract probe(target: TargetRecord): Promise<ProbeResult>;

  /**
   * Resolves to true if the target has certainly ended: its address refuses connections,
   * or another target answers there.
   */
  abstract checkGone(target: TargetRecord): Promise<boolean>;

  /** Requests the list of prompt segments in the engine's cache. */
  abstract listCachedSegments(
    target: TargetRecord,
  ): Promise<Either<Failure, readonly PromptSegment[]>>;

  /** Tells the engine to free a KV cache that no engine will fetch. */
  abstract releaseKvCache(handover: KvCacheHandle): void;

  /** True if a request to the target needs no new connection. */
  abstract hasIdleConnection(target: TargetRecord): boolean;

  /**
   * False if the target may have restarted since the list of targets was read, so that the
   * software version of its registration may not be the one that serves.
   */
  abstract isIncarnationKnown(target: TargetRecord): boolean;

  /**
   * Asks the target whether it is still the incarnation of its registration. If so, it is
   * known from then on for as long as a connection to it lasts. Resolves to false if it is
   * another one, does not say, or no connection is open.
   */
  abstract verifyIncarnation(target: TargetRecord): Promise<boolean>;

  /** Closes the connections to a target that is gone. */
  abstract closeConnections(address: string): void;
}
