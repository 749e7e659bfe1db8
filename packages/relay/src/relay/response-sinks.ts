/** Response sinks that forward a target's answer to the caller. */
import type { ResponseHead, Caller } from '../requests/relay-request.js';

import { ServerSentEventBuffer } from './server-sent-event-buffer.js';
import { ResponseSink } from './target-client.js';

/** Answers up to this size are forwarded only once they are complete. */
const maxBufferedBytes = 64 * 1024;

/** Returns whether an answer with this status is forwarded. */
export type StatusPredicate = (status: number) => boolean;

/**
 * Buffers a short answer until it is complete, so that the request can be retried if
 * the answer breaks off. Longer answers are forwarded as they arrive.
 */
export class BufferedResponseSink extends ResponseSink {
  #head: ResponseHead | undefined;
  #bufferedChunks: Buffer[] = [];
  #bufferedBytes = 0;
  #isForwarding = false;

  constructor(
    private readonly caller: Caller,
    private readonly acceptsStatus: StatusPredicate,
  ) {
    super();
  }

  override onHead(head: ResponseHead): boolean {
    this.#head = head;
    this.#bufferedChunks = [];
    this.#bufferedBytes = 0;
    return this.acceptsStatus(head.status);
  }

  override onData(chunk: Buffer): boolean {
    if (this.#isForwarding) return this.caller.write(chunk);
    this.#bufferedChunks.push(chunk);
    this.#bufferedBytes += chunk.length;
    return (
      this.#bufferedBytes <= maxBufferedBytes || this.#forwardBufferedResponse()
    );
  }

  override waitForDrain(): Promise<void> {
    return this.caller.waitForDrain();
  }

  /** Forwards the buffered bytes and ends the answer. */
  finish(): void {
    if (!this.#isForwarding) this.#forwardBufferedResponse();
    this.caller.end();
  }

  #forwardBufferedResponse(): boolean {
    this.#isForwarding = true;
    if (this.#head !== undefined) this.caller.writeHead(this.#head);
    let isWritable = true;
    for (const chunk of this.#bufferedChunks)
      isWritable = this.caller.write(chunk);
    this.#bufferedChunks = [];
    return isWritable;
  }
}

/**
 * Forwards the bytes of a stream as they arrive, or whole events if the stream is
 * resumable. The head is sent with the first bytes.
 */
export class StreamingResponseSink extends ResponseSink {
  readonly #eventBuffer: ServerSentEventBuffer | undefined;
  #head: ResponseHead | undefined;
  #eventCount = 0;

  constructor(
    private readonly caller: Caller,
    private readonly acceptsStatus: StatusPredicate,
    private readonly onBytes: () => void,
    resumable: boolean,
  ) {
    super();
    this.#eventBuffer = resumable ? new ServerSentEventBuffer() : undefined;
  }

  /** Id of the last forwarded event; undefined if the stream is not resumable. */
  get lastEventId(): string | undefined {
    return this.#eventBuffer?.lastEventId;
  }

  /** Number of writes to the caller; each holds one or more events. */
  get writeCount(): number {
    return this.#eventCount;
  }

  override onHead(head: ResponseHead): boolean {
    if (!this.acceptsStatus(head.status)) return false;
    this.#eventBuffer?.takeIncompleteEvent();
    this.#head ??= head;
    return true;
  }

  override onData(chunk: Buffer): boolean {
    const bytes =
      this.#eventBuffer === undefined
        ? chunk
        : this.#eventBuffer.appendChunk(chunk);
    return bytes.length === 0 || this.#writeBytes(bytes);
  }

  override waitForDrain(): Promise<void> {
    return this.caller.waitForDrain();
  }

  /** Ends an answer that arrived completely. */
  finish(): void {
    const incompleteEvent = this.#eventBuffer?.takeIncompleteEvent();
    if (incompleteEvent !== undefined && incompleteEvent.length > 0)
      this.#writeBytes(incompleteEvent);
    this.#writeHeadOnce();
    this.caller.end();
  }

  #writeBytes(bytes: Buffer): boolean {
    this.#writeHeadOnce();
    this.#eventCount += 1;
    this.onBytes();
    return this.caller.write(bytes);
  }

  #writeHeadOnce(): void {
    if (this.caller.hasStarted || this.#head === undefined) return;
    this.caller.writeHead(this.#head);
  }
}
