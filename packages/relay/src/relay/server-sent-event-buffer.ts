/**
 * Splits a byte stream of server-sent events at event boundaries, so that the stream
 * can be resumed after the last complete event.
 */

import { ByteBlocks } from '@medlarlever/core';

const newline = 0x0a;
const carriageReturn = 0x0d;
const eventIdPattern = /^id:[ ]?(.*)$/gm;

/** Ids that a header can name; a stream can't be taken up after an event with another one. */
const nameableIdPattern = /^[\t\r -~\u0080-\u00ff]*$/;

/** Longest event; what has no end by then is none. */
const maxEventBytes = 256 * 1024;

const noBytes = Buffer.alloc(0);

/** Longest sequence that ends an event, without its last byte. */
const maxTailBytes = 2;

/** Finds the ends of events; the cost of each part depends on its own length alone. */
class EventEndScanner {
  #tail: Buffer = Buffer.alloc(0);

  /**
   * Takes the next bytes. Returns the position in them after the last end of an event;
   * 0 if no event ends in them.
   */
  scan(chunk: Buffer): number {
    const tailBytes = this.#tail.length;
    const bytes = Buffer.concat([this.#tail, chunk]);
    const end = findLastEventEnd(bytes);
    this.#tail = bytes.subarray(-maxTailBytes);
    return Math.max(0, end - tailBytes);
  }
}

/** Buffers the incomplete event at the end of one stream. */
export class ServerSentEventBuffer {
  readonly #incompleteEvent = new ByteBlocks();
  #scanner = new EventEndScanner();
  #lastEventId: string | undefined;
  #hasCompletedEvent = false;

  /** Id of the last complete event that had one. */
  get lastEventId(): string | undefined {
    return this.#lastEventId;
  }

  /** Appends bytes and returns all events that are complete now. */
  appendChunk(chunk: Buffer): Buffer {
    const end = this.#scanner.scan(chunk);
    this.#hasCompletedEvent = end > 0;
    if (end === 0) {
      this.#hold(chunk);
      return noBytes;
    }
    const completeEvents = this.#takeUntil(chunk.subarray(0, end));
    this.#hold(chunk.subarray(end));
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
    this.#scanner = new EventEndScanner();
    return this.#incompleteEvent.take();
  }

  /** Holds bytes up to one more than an event may have. */
  #hold(bytes: Buffer): void {
    const freeBytes = maxEventBytes + 1 - this.#incompleteEvent.length;
    if (freeBytes > 0)
      this.#incompleteEvent.append(bytes.subarray(0, freeBytes));
  }

  /** Returns the held bytes with the rest of their event. */
  #takeUntil(rest: Buffer): Buffer {
    if (this.#incompleteEvent.length === 0) return rest;
    this.#incompleteEvent.append(rest);
    return this.#incompleteEvent.take();
  }

  #updateLastEventId(events: Buffer): void {
    const ids = events.toString('latin1').matchAll(eventIdPattern);
    for (const [, id = ''] of ids)
      this.#lastEventId = nameableIdPattern.test(id) ? id.trim() : undefined;
  }
}

/** Tells whether a stream that is passed on at once ends inside an event. */
export class EventBoundary {
  readonly #scanner = new EventEndScanner();
  #incompleteBytes = 0;
  #hasCompletedEvent = false;

  /** True if the last bytes completed an event. */
  get hasCompletedEvent(): boolean {
    return this.#hasCompletedEvent;
  }

  /** Takes note of the next bytes and returns them. */
  appendChunk(chunk: Buffer): Buffer {
    const end = this.#scanner.scan(chunk);
    this.#hasCompletedEvent = end > 0;
    if (end > 0) this.#incompleteBytes = 0;
    this.#incompleteBytes += chunk.length - end;
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
