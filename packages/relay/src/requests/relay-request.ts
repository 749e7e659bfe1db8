/** A caller's request that is passed on to a target as it came. */
import type { Failure } from '@medlarlever/core';

/** A part of a prompt. Prompts that begin alike name the same parts. */
export interface PromptSegment {
  readonly id: string;
  readonly tokens: number;
}

/** What is known of a generation's prompt without reading its body. */
export interface Prompt {
  readonly model: string;
  /** Tokens of the whole prompt. */
  readonly tokens: number;
  /** Most tokens that the answer may have. */
  readonly maxOutputTokens: number;
  /** In the order of the prompt; the last belongs to this request alone. */
  readonly segments: readonly PromptSegment[];
}

/** Header names and values in turn, as they came. */
export type RawHeaders = readonly string[];

/** Status line and headers of an answer. */
export interface ResponseHead {
  readonly status: number;
  readonly headers: RawHeaders;
  /** True when only the end of the connection ends the answer. */
  readonly isCloseDelimited: boolean;
}

export interface RelayRequest {
  /** Unique for each try of the caller. */
  readonly id: string;
  readonly method: string;
  readonly host: string;
  /** Path and query, unchanged. */
  readonly url: string;
  /** Headers to pass on, without those of one connection. */
  readonly headers: RawHeaders;
  readonly body: Buffer;
  /** Same for every repeat of the same request, through any instance. */
  readonly fingerprint: string;
  /** Monotonic milliseconds at which the request began to arrive. */
  readonly arrivedAtMs: number;
  /** How long the caller waits, from `arrivedMs`. */
  readonly callerTimeoutMs: number | undefined;
  /** Absent when the request is not a generation. */
  readonly prompt: Prompt | undefined;
  /** Event after which the caller wants its stream to go on. */
  readonly resumeAfterEventId: string | undefined;
}

/** Where the answer of a request goes. */
export abstract class Caller {
  /** Aborts when the caller closed the connection. */
  abstract readonly disconnectSignal: AbortSignal;
  /** True once part of an answer went out. */
  abstract readonly hasStarted: boolean;
  abstract writeHead(head: ResponseHead): void;
  /** False when the caller reads slower than it is written to. */
  abstract write(chunk: Buffer): boolean;
  /** Resolves when the caller has read what was written, or has left. */
  abstract waitForDrain(): Promise<void>;
  abstract end(): void;
  /** Ends the answer so that it cannot be taken for a whole one. */
  abstract abortResponse(): void;
  /** Answers with a numbered failure; only while nothing went out. */
  abstract sendFailure(failure: Failure): void;
}
