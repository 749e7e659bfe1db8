/**
 * Splits a byte stream of server-sent events at event boundaries, so that the stream
 * can be resumed after the last complete event.
 */

const newline = 0x0a;
const carriageReturn = 0x0d;
const eventIdPattern = /^id:[ ]?(.*)$/gm;

/** Longest event; what has no end by then is none. */
const maxEventBytes = 256 * 1024;

/** Buffers the incomplete event at the end of one stream. */
export class ServerSentEventBuffer {
  #incompleteEvent: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;
  #hasCompletedEvent = false;

  /** Id of the last complete event that had one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Appends bytes and returns all events that are complete now. */
  appendChunk(chunk: Buffer): Buffer {
    const bytes =
      this.#incompleteEvent.length === 0
        ? chunk
        : Buffer.concat([this.#incompleteEvent, chunk]);
    const end = findLastEventEnd(bytes);
    const completeEvents = bytes.subarray(0, end);
    this.#incompleteEvent = bytes.subarray(end, end + maxEventBytes + 1);
    this.#hasCompletedEvent = end > 0;
    this.#updateLastEventId(completeEvents);
    return completeEvents;
  }

  /** True if the last bytes completed an event. */
  get hasCompletedEvent(): boolean {
    return this.#hasCompletedEvent;
  }

  /** Bytes of the incomplete event. */
  get heldBytes(): number {
    return this.#incompleteEvent.length;
  }

  /** True if the bytes so far end inside an event. */
  get isInsideEvent(): boolean {
    return this.#incompleteEvent.length > 0;
  }

  /** True if the event at the end is too long to be one. */
  get isOverlong(): boolean {
    return this.#incompleteEvent.length > maxEventBytes;
  }

  /**
   * Returns and clears the bytes after the last complete event, which are dropped before
   * the stream is resumed.
   */
  takeIncompleteEvent(): Buffer {
    const incompleteEvent = this.#incompleteEvent;
    this.#incompleteEvent = Buffer.alloc(0);
    return incompleteEvent;
  }

  #updateLastEventId(events: Buffer): void {
    const ids = events.toString('latin1').matchAll(eventIdPattern);
    for (const [, id] of ids) this.#lastEventId = id?.trim();
  }
}

/** Longest sequence that ends an event, without its last byte. */
const maxTailBytes = 2;

/** Tells whether a stream that is passed on at once ends inside an event. */
export class EventBoundary {
  #tail: Buffer = Buffer.alloc(0);
  #incompleteBytes = 0;
  #hasCompletedEvent = false;

  /** True if the last bytes completed an event. */
  get hasCompletedEvent(): boolean {
    return this.#hasCompletedEvent;
  }

  /** Takes note of the next bytes and returns them. */
  appendChunk(chunk: Buffer): Buffer {
    const bytes = Buffer.concat([this.#tail, chunk]);
    const end = findLastEventEnd(bytes);
    this.#incompleteBytes =
      end === 0 ? this.#incompleteBytes + chunk.length : bytes.length - end;
    this.#hasCompletedEvent = end > this.#tail.length;
    this.#tail = bytes.subarray(-maxTailBytes);
    return chunk;
  }

  /** True if the bytes so far end inside an event. */
  get isInsideEvent(): boolean {
    return this.#incompleteBytes > 0;
  }

  /** True if the event at the end is too long to be one. */
  get isOverlong(): boolean {
    return this.#incompleteBytes > maxEventBytes;
  }
}

/** Returns the position after the last empty line, or 0 if there is none. */
const findLastEventEnd = (bytes: Buffer): number => {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] !== newline) continue;
    const previous = bytes[i - 1] === carriageReturn ? i - 2 : i - 1;
    if (bytes[previous] === newline) return i + 1;
  }
  return 0;
};
