/** A caller's request that is forwarded unchanged to a target. */
import type { Failure } from '@medlarlever/core';

import type { EarlierArrivals } from '../retries/request-retries.js';

/** A segment of a prompt. Prompts with a common prefix have common segment ids. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** Description of a generation's prompt, known without parsing the body. */
export interface Prompt {
  readonly model: string;
  /** Number of tokens of the whole prompt. */
  readonly tokens: number;
  /** Largest number of tokens that the answer may have. */
  readonly maxOutputTokens: number;
  /** Segments in prompt order; the last one belongs to this request alone. */
  readonly segments: readonly PromptSegment[];
}

/** Header names and values in alternation, in the order received. */
export type RawHeaders = readonly string[];

/** Status line and headers of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
  /** True when the target ends the body with its connection, with neither length nor chunks. */
  readonly isCloseDelimited: boolean;
}

/** A request with the data that the relay needs for routing and placement. */
export interface RelayRequest {
  /** Unique for each request, also for repeats by the caller. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, unchanged. */
  readonly url: string;
  /** Headers to forward, without hop-by-hop headers. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Equal for all repeats of the same request, through any instance. */
  readonly fingerprint: string;
  /** Monotonic milliseconds at which the request began to arrive. */
  readonly arrivedAtMs: number;
  /** Milliseconds that the caller waits for the answer, from `arrivedAtMs`. */
  readonly callerTimeoutMs: number | undefined;
  /**
   * Id of the request that brought the first event of the stream that the caller takes
   * up again; undefined for a new stream.
   */
  readonly resumedRequestId: string | undefined;
  /** Absent when the request is not a generation. */
  readonly prompt: Prompt | undefined;
  /** Id of the event after which the caller resumes its stream. */
  readonly resumeAfterEventId: string | undefined;
  /** Name of the instance that handed the request over; undefined if the caller sent it. */
  readonly forwardedBy?: string;
  /** What of the request has arrived at targets by way of `forwardedBy`. */
  readonly earlierArrivals?: EarlierArrivals;
  /** SHA-256 hash of the caller's key in base64url; undefined if it sent none. */
  readonly keyHash?: string;
  /** Name of the customer whose key was checked; undefined before the check and without one. */
  readonly customer?: string;
}

/** The caller of one request, to which its answer is written. */
export abstract class Caller {
  /** Aborts when the caller closes the connection. */
  abstract readonly disconnectSignal: AbortSignal;
  /** True once part of an answer was sent. */
  abstract readonly hasStarted: boolean;
  abstract writeHead(head: ResponseHead): void;
  /** Returns false when the write buffer is full; see `waitForDrain`. */
  abstract write(chunk: Buffer): boolean;
  /** Bytes that were written and not yet taken by the connection. */
  abstract readonly bufferedBytes: number;
  /** Resolves when the write buffer is drained or the caller has disconnected. */
  abstract waitForDrain(): Promise<void>;
  /** Ends a complete answer. */
  abstract end(): void;
  /** Closes the connection, so that the caller sees an incomplete answer. */
  abstract abortResponse(): void;
  /** Answers with a failure; only allowed while `hasStarted` is false. */
  abstract sendFailure(failure: Failure): void;
}
