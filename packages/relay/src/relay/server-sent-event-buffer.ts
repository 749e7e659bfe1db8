/** Cuts a stream of events into whole events, so that it can be resumed. */

const newline = 0x0a;
const idPattern = /^id:[ ]?(.*)$/m;

/** Longest unfinished event that is kept back. */
const longestEventBytes = 256 * 1024;

export class EventBlocks {
  #rest: Buffer = Buffer.alloc(0);
  #lastId: string | undefined;

  /** Id of the last whole event. */
  get lastId(): string | undefined {
    return this.#lastId;
  }

  /** Adds bytes; returns the whole events that they complete. */
  push(chunk: Buffer): Buffer {
    const bytes =
      this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
    const end = lastBoundary(bytes);
    if (end === 0 && bytes.length <= longestEventBytes) {
      this.#rest = bytes;
      return Buffer.alloc(0);
    }
    const whole = end === 0 ? bytes : bytes.subarray(0, end);
    this.#rest = bytes.subarray(whole.length);
    this.#noteIds(whole);
    return whole;
  }

  /** What follows the last whole event; for a stream that ended well. */
  takeRest(): Buffer {
    const rest = this.#rest;
    this.#rest = Buffer.alloc(0);
    return rest;
  }

  #noteIds(events: Buffer): void {
    for (const event of events.toString('latin1').split('\n\n')) {
      const id = idPattern.exec(event)?.[1]?.trim();
      if (id !== undefined) this.#lastId = id;
    }
  }
}

/** Position after the last empty line, 0 when there is none. */
const lastBoundary = (bytes: Buffer): number => {
  for (let i = bytes.length - 1; i > 0; i -= 1) {
    if (bytes[i] === newline && bytes[i - 1] === newline) return i + 1;
  }
  return 0;
};
