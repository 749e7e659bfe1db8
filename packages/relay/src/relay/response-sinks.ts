/** Sinks that pass a target's answer on to the caller. */
import type { ResponseHead, Caller } from '../requests/relay-request.js';

import { ServerSentEventBuffer } from './server-sent-event-buffer.js';
import { ResponseSink } from './target-client.js';

/** Answers up to this size are passed on once they are whole. */
const maxBufferedBytes = 64 * 1024;

/** Whether an answer with this status is passed on. */
export type StatusPredicate = (status: number) => boolean;

/** Holds a short answer until it is whole, so that a broken one can be repeated. */
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

  /** Passes on what is held and ends the answer. */
  finish(): void {
    if (!this.#isForwarding) this.#forwardBufferedResponse();
    this.caller.end();
  }

  #forwardBufferedResponse(): boolean {
    this.#isForwarding = true;
    if (this.#head !== undefined) this.caller.writeHead(this.#head);
    let writable = true;
    for (const chunk of this.#bufferedChunks)
      writable = this.caller.write(chunk);
    this.#bufferedChunks = [];
    return writable;
  }
}

/** Passes events on as they arrive; the head goes out with the first bytes. */
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

  /** Event after which the stream can go on at another target. */
  get lastEventId(): string | undefined {
    return this.#eventBuffer?.lastEventId;
  }

  get eventCount(): number {
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

  /** Ends an answer that came whole. */
  finish(): void {
    const rest = this.#eventBuffer?.takeIncompleteEvent();
    if (rest !== undefined && rest.length > 0) this.#writeBytes(rest);
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
