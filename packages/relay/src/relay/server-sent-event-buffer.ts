/** Cuts a stream of events into whole events, so that it can be resumed. */

const newline = 0x0a;
const eventIdPattern = /^id:[ ]?(.*)$/m;

/** Longest unfinished event that is kept back. */
const maxIncompleteEventBytes = 256 * 1024;

export class ServerSentEventBuffer {
  #incompleteEvent: Buffer = Buffer.alloc(0);
  #lastEventId: string | undefined;

  /** Id of the last whole event. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Adds bytes; returns the whole events that they complete. */
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
    const whole = end === 0 ? bytes : bytes.subarray(0, end);
    this.#incompleteEvent = bytes.subarray(whole.length);
    this.#updateLastEventId(whole);
    return whole;
  }

  /** What follows the last whole event; for a stream that ended well. */
  takeIncompleteEvent(): Buffer {
    const rest = this.#incompleteEvent;
    this.#incompleteEvent = Buffer.alloc(0);
    return rest;
  }

  #updateLastEventId(events: Buffer): void {
    for (const event of events.toString('latin1').split('\n\n')) {
      const id = eventIdPattern.exec(event)?.[1]?.trim();
      if (id !== undefined) this.#lastEventId = id;
    }
  }
}

/** Position after the last empty line, 0 when there is none. */
const findLastEventEnd = (bytes: Buffer): number => {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] === newline && bytes[i - 1] === newline) return i + 1;
  }
  return 0;
};
