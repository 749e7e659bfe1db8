/** How requests reach a target; the wire is the implementation's. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type {
  ResponseHead,
  PromptSegment,
  RelayRequest,
} from '../requests/relay-request.js';
import type { TargetRecord } from '../targets/target-record.js';

/** A prompt that a prefill engine has read and keeps for another engine. */
export interface KvCacheHandle {
  /** Address of the engine that keeps it. */
  readonly address: string;
  readonly handle: string;
}

export interface SendOptions {
  /** Time that the target gets for the request. */
  readonly remainingMs: number;
  /** 0 is the most urgent, 9 the least; engines admit by it. */
  readonly urgency?: number;
  readonly kvCacheHandle?: KvCacheHandle;
  /** Engine from which prompt parts are copied instead of read. */
  readonly copySourceAddress?: string;
  /** Event after which a stream goes on. */
  readonly resumeAfterEventId?: string;
  /** Ends the call and its connection. */
  readonly signal: AbortSignal;
}

/** Takes the answer of a target as it comes. */
export abstract class ResponseSink {
  /** False when the answer is not wanted; its body is then dropped. */
  abstract onHead(head: ResponseHead): boolean;
  /** False to get no more until `drained` resolves. */
  abstract onData(chunk: Buffer): boolean;
  abstract waitForDrain(): Promise<void>;
}

/** The target says that it has not run the request. */
export interface NotExecuted {
  readonly kind: 'not_executed';
  readonly status: number;
  /** True when another target answers at the address. */
  readonly misdirected: boolean;
}

/** The call ended without a whole answer. */
export interface BrokenConnection {
  readonly kind: 'broken';
  /** `connecting`: no byte of the request was sent. */
  readonly phase: 'connecting' | 'sent' | 'answering';
  readonly reason: string;
}

export type SendOutcome =
  | { readonly kind: 'whole'; readonly status: number }
  | { readonly kind: 'declined'; readonly status: number }
  | { readonly kind: 'aborted' }
  | NotExecuted
  | BrokenConnection;

export type PrefillOutcome =
  | { readonly kind: 'read'; readonly handover: KvCacheHandle }
  | { readonly kind: 'failed'; readonly status: number }
  | { readonly kind: 'aborted' }
  | NotExecuted
  | BrokenConnection;

/** Connections to targets. */
export abstract class TargetClient {
  /** Has the prompt read without running the request. */
  abstract prefill(
    target: TargetRecord,
    request: RelayRequest,
    options: SendOptions,
  ): Promise<PrefillOutcome>;

  /** Sends the request once. */
  abstract send(
    target: TargetRecord,
    request: RelayRequest,
    options: SendOptions,
    sink: ResponseSink,
  ): Promise<SendOutcome>;

  /** True if the target answers on a new connection within a moment. */
  abstract checkLiveness(target: TargetRecord): Promise<boolean>;

  /** Prompt parts that an engine keeps. */
  abstract listCachedSegments(
    target: TargetRecord,
  ): Promise<Either<Failure, readonly PromptSegment[]>>;

  /** Frees a handover that will not be taken. */
  abstract releaseKvCache(handover: KvCacheHandle): void;

  /** Closes the connections to a target that is gone. */
  abstract closeConnections(address: string): void;
}
