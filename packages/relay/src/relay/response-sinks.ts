/** Response sinks that forward a target's answer to the caller. */
import { ByteBlocks } from '@medlarlever/core';

import type { AnswerBuffer } from '../buffers/answer-buffer.js';
import type { ResponseHead, Caller } from '../requests/relay-request.js';
import { withLength } from '../requests/response-length.js';

import {
  EventBoundary,
  ServerSentEventBuffer,
} from './server-sent-event-buffer.js';
import { ResponseSink } from './target-client.js';

/** Answers up to this size are forwarded only once they are complete. */
const maxBufferedBytes = 64 * 1024;

/** Returns whether an answer with this status is forwarded. */
export type StatusPredicate = (status: number) => boolean;

/** Passes the answers to one request on to its caller. */
export abstract class CallerSink extends ResponseSink {
  /**
   * Called when the answer makes progress: for each part of a plain answer, and for each
   * part of a stream that ends at least one event or is not made of events.
   */
  onProgress: () => void = () => undefined;

  /** Called for each part of a stream that ends at least one event. */
  onEvent: () => void = () => undefined;

  /** Called for each part of a stream that ends no event. */
  onEventPart: () => void = () => undefined;

  /** Called when the current answer has an event that is too long to be one. */
  onOverlongEvent: () => void = () => undefined;

  /**
   * Called when the answer shows that the target has begun to run the request: with the
   * head, or with the data of a stream. Later calls say nothing new.
   */
  onRunStart: () => void = () => undefined;

  /** Id of the last forwarded event; undefined if no stream can go on after it. */
  get lastEventId(): string | undefined {
    return undefined;
  }

  /**
   * Returns why the current answer, whose end has arrived, was broken off; undefined if
   * it is complete.
   */
  findTruncation(): string | undefined {
    return undefined;
  }

  /** Ends an answer that arrived completely. */
  abstract finish(): void;
}

/**
 * Buffers a short answer until it is complete, so that the request can be retried if
 * the answer breaks off. Longer answers are forwarded as they arrive.
 */
export class BufferedResponseSink extends CallerSink {
  #head: ResponseHead | undefined;
  #buffered = new ByteBlocks();
  #isForwarding = false;

  constructor(
    private readonly caller: Caller,
    private readonly answerBuffer: AnswerBuffer,
    private readonly acceptsStatus: StatusPredicate,
  ) {
    super();
  }

  override onHead(head: ResponseHead): boolean {
    this.#head = head;
    this.#buffered = new ByteBlocks();
    this.onRunStart();
    this.onProgress();
    this.answerBuffer.hold(0);
    return this.acceptsStatus(head.status);
  }

  override onData(chunk: Buffer): boolean {
    this.onProgress();
    if (this.#isForwarding) return this.answerBuffer.write(chunk);
    this.#buffered.append(chunk);
    this.answerBuffer.hold(this.#buffered.allocatedBytes);
    return (
      this.#buffered.length <= maxBufferedBytes ||
      this.#forwardBufferedResponse()
    );
  }

  override waitForDrain(): Promise<void> {
    return this.answerBuffer.waitForSpace();
  }

  override finish(): void {
    if (!this.#isForwarding) this.#forwardWholeResponse();
    this.caller.end();
  }

  /** Names the length, which tells any caller whether it has got the whole body. */
  #forwardWholeResponse(): void {
    if (this.#head !== undefined)
      this.#head = withLength(this.#head, this.#buffered.length);
    this.#forwardBufferedResponse();
  }

  #forwardBufferedResponse(): boolean {
    this.#isForwarding = true;
    if (this.#head !== undefined) this.caller.writeHead(this.#head);
    const bytes = this.#buffered.take();
    this.answerBuffer.hold(0);
    return bytes.length === 0 || this.answerBuffer.write(bytes);
  }
}

/** Options of a {@link StreamingResponseSink}. */
export interface StreamingResponseSinkOptions {
  readonly caller: Caller;
  readonly answerBuffer: AnswerBuffer;
  readonly acceptsStatus: StatusPredicate;
  /** Called before each write of data to the caller; false drops the data. */
  readonly onBytes: () => boolean;
  /** True if only whole events are forwarded, so that another target can go on. */
  readonly isResumable: boolean;
  /** True if the caller takes up a stream, of which nothing may be left. */
  readonly mayBeEmpty: boolean;
}

const okStatus = 200;
const eventStreamType = 'text/event-stream';

/** Returns the media type of the answer, without parameters; undefined if it names none. */
const getMediaType = ({ headers }: ResponseHead): string | undefined => {
  const index = headers.findIndex(
    (name, i) => i % 2 === 0 && name.toLowerCase() === 'content-type',
  );
  if (index === -1) return undefined;
  const [type] = (headers[index + 1] ?? '').split(';');
  return type?.trim().toLowerCase();
};

const isEventStream = (head: ResponseHead): boolean =>
  head.status === okStatus && getMediaType(head) === eventStreamType;

/**
 * Forwards the bytes of a stream as they arrive, or whole events if the stream is
 * resumable. The head is sent with the first bytes.
 */
export class StreamingResponseSink extends CallerSink {
  readonly #options: StreamingResponseSinkOptions;
  readonly #eventBuffer = new ServerSentEventBuffer();
  #boundary = new EventBoundary();
  /** Head that the caller gets. */
  #head: ResponseHead | undefined;
  /** Head of the answer that arrives at present. */
  #currentHead: ResponseHead | undefined;
  #currentBytes = 0;
  #writeCount = 0;

  constructor(options: StreamingResponseSinkOptions) {
    super();
    this.#options = options;
  }

  override get lastEventId(): string | undefined {
    return this.#eventBuffer.lastEventId;
  }

  /** Number of writes to the caller; each holds one or more events. */
  get writeCount(): number {
    return this.#writeCount;
  }

  /** False if the caller has a part of an answer with which no target can go on. */
  get canBeContinued(): boolean {
    if (!this.#options.caller.hasStarted) return true;
    const isStream = this.#head !== undefined && mayHoldEvents(this.#head);
    return isStream && this.lastEventId !== undefined;
  }

  override onHead(head: ResponseHead): boolean {
    const { acceptsStatus, caller } = this.#options;
    if (!acceptsStatus(head.status)) return false;
    if (caller.hasStarted && !this.#continuesStream(head)) return false;
    if (!caller.hasStarted) this.#head = head;
    this.#eventBuffer.takeIncompleteEvent();
    this.#boundary = new EventBoundary();
    this.#currentHead = head;
    this.#currentBytes = 0;
    return true;
  }

  override onData(chunk: Buffer): boolean {
    this.#currentBytes += chunk.length;
    const bytes = this.#takeForwardableBytes(chunk);
    this.#options.answerBuffer.hold(this.#eventBuffer.heldBytes);
    return bytes.length === 0 || this.#writeBytes(bytes);
  }

  override waitForDrain(): Promise<void> {
    return this.#options.answerBuffer.waitForSpace();
  }

  override findTruncation(): string | undefined {
    const head = this.#currentHead;
    if (head === undefined || !isEventStream(head)) return undefined;
    if (this.#isInsideEvent) return 'the stream ended inside an event';
    const mayBeEmpty = this.#options.mayBeEmpty || this.#writeCount > 0;
    const isEmpty = head.isCloseDelimited && this.#currentBytes === 0;
    return isEmpty && !mayBeEmpty
      ? 'the connection ended before the first event'
      : undefined;
  }

  override finish(): void {
    const incompleteEvent = this.#eventBuffer.takeIncompleteEvent();
    if (incompleteEvent.length > 0) this.#writeBytes(incompleteEvent);
    this.#writeHeadOnce();
    this.#options.caller.end();
  }

  /** True if the answer is of the kind that the caller has a part of. */
  #continuesStream(head: ResponseHead): boolean {
    const started = this.#head;
    return (
      started !== undefined &&
      this.canBeContinued &&
      head.status === started.status &&
      getMediaType(head) === getMediaType(started)
    );
  }

  get #isInsideEvent(): boolean {
    return this.#options.isResumable
      ? this.#eventBuffer.isInsideEvent
      : this.#boundary.isInsideEvent;
  }

  #takeForwardableBytes(chunk: Buffer): Buffer {
    const head = this.#currentHead;
    if (head !== undefined && !mayHoldEvents(head)) {
      this.onProgress();
      return chunk;
    }
    const tracker = this.#options.isResumable
      ? this.#eventBuffer
      : this.#boundary;
    const bytes = tracker.appendChunk(chunk);
    if (tracker.isOverlong) this.onOverlongEvent();
    this.#reportEvent(tracker.hasCompletedEvent);
    return bytes;
  }

  #reportEvent(isComplete: boolean): void {
    if (!isComplete) {
      this.onEventPart();
      return;
    }
    this.onEvent();
    this.onProgress();
  }

  #writeBytes(bytes: Buffer): boolean {
    if (this.#currentHead?.status === okStatus) this.onRunStart();
    if (!this.#options.onBytes()) return true;
    this.#writeHeadOnce();
    this.#writeCount += 1;
    return this.#options.answerBuffer.write(bytes);
  }

  #writeHeadOnce(): void {
    const { caller } = this.#options;
    if (caller.hasStarted || this.#head === undefined) return;
    caller.writeHead(this.#head);
  }
}

/** False if the answer is certainly no stream of events, such as an error page. */
const mayHoldEvents = (head: ResponseHead): boolean =>
  isEventStream(head) ||
  (head.status === okStatus && getMediaType(head) === undefined);
