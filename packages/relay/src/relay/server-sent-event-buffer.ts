/**
 * Splits a byte stream of server-sent events at event boundaries, so that the stream
 * can be resumed after the last complete event.
 */

const newline = 0x0a;
const eventIdPattern = /^id:[ ]?(.*)$/m;

/** Longest incomplete event that is buffered; longer ones are passed through. */
const maxIncompleteEventBytes = 256 * 1024;

/** Buffers the incomplete event at the end of one stream. */
export class ServerSentEventBuffer {
  #incompleteEvent: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;

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
    if (end === 0 && bytes.length <= maxIncompleteEventBytes) {
      this.#incompleteEvent = bytes;
      return Buffer.alloc(0);
    }
    const completeEvents = end === 0 ? bytes : bytes.subarray(0, end);
    this.#incompleteEvent = bytes.subarray(completeEvents.length);
    this.#updateLastEventId(completeEvents);
    return completeEvents;
  }

  /**
   * Returns and clears the bytes after the last complete event: the end of a stream
   * that ended normally, or bytes to drop before the stream is resumed.
   */
  takeIncompleteEvent(): Buffer {
    const incompleteEvent = this.#incompleteEvent;
    this.#incompleteEvent = Buffer.alloc(0);
    return incompleteEvent;
  }

  #updateLastEventId(events: Buffer): void {
    for (const event of events.toString('latin1').split('\n\n')) {
      const id = eventIdPattern.exec(event)?.[1]?.trim();
      if (id !== undefined) this.#lastEventId = id;
    }
  }
}

/** Returns the position after the last empty line, or 0 if there is none. */
const findLastEventEnd = (bytes: Buffer): number => {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] === newline && bytes[i - 1] === newline) return i + 1;
  }
  return 0;
};
