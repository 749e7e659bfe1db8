/** Sinks that pass a target's answer on to the caller. */
import type { AnswerHead, Caller } from '../requests/relay-request.js';

import { EventBlocks } from './server-sent-event-buffer.js';
import { AnswerSink } from './target-client.js';

/** Answers up to this size are passed on once they are whole. */
const heldBytes = 64 * 1024;

/** Whether an answer with this status is passed on. */
export type AcceptStatus = (status: number) => boolean;

/** Holds a short answer until it is whole, so that a broken one can be repeated. */
export class HeldSink extends AnswerSink {
  #head: AnswerHead | undefined;
  #chunks: Buffer[] = [];
  #size = 0;
  #passing = false;

  constructor(
    private readonly caller: Caller,
    private readonly accept: AcceptStatus,
  ) {
    super();
  }

  override head(head: AnswerHead): boolean {
    this.#head = head;
    this.#chunks = [];
    this.#size = 0;
    return this.accept(head.status);
  }

  override data(chunk: Buffer): boolean {
    if (this.#passing) return this.caller.write(chunk);
    this.#chunks.push(chunk);
    this.#size += chunk.length;
    return this.#size <= heldBytes || this.#pass();
  }

  override drained(): Promise<void> {
    return this.caller.drained();
  }

  /** Passes on what is held and ends the answer. */
  finish(): void {
    if (!this.#passing) this.#pass();
    this.caller.end();
  }

  #pass(): boolean {
    this.#passing = true;
    if (this.#head !== undefined) this.caller.head(this.#head);
    let writable = true;
    for (const chunk of this.#chunks) writable = this.caller.write(chunk);
    this.#chunks = [];
    return writable;
  }
}

/** Passes events on as they arrive; the head goes out with the first bytes. */
export class StreamSink extends AnswerSink {
  readonly #blocks: EventBlocks | undefined;
  #head: AnswerHead | undefined;
  #events = 0;

  constructor(
    private readonly caller: Caller,
    private readonly accept: AcceptStatus,
    private readonly onBytes: () => void,
    resumable: boolean,
  ) {
    super();
    this.#blocks = resumable ? new EventBlocks() : undefined;
  }

  /** Event after which the stream can go on at another target. */
  get lastId(): string | undefined {
    return this.#blocks?.lastId;
  }

  get events(): number {
    return this.#events;
  }

  override head(head: AnswerHead): boolean {
    if (!this.accept(head.status)) return false;
    this.#blocks?.takeRest();
    this.#head ??= head;
    return true;
  }

  override data(chunk: Buffer): boolean {
    const bytes = this.#blocks === undefined ? chunk : this.#blocks.push(chunk);
    return bytes.length === 0 || this.#write(bytes);
  }

  override drained(): Promise<void> {
    return this.caller.drained();
  }

  /** Ends an answer that came whole. */
  finish(): void {
    const rest = this.#blocks?.takeRest();
    if (rest !== undefined && rest.length > 0) this.#write(rest);
    this.#begin();
    this.caller.end();
  }

  #write(bytes: Buffer): boolean {
    this.#begin();
    this.#events += 1;
    this.onBytes();
    return this.caller.write(bytes);
  }

  #begin(): void {
    if (this.caller.begun || this.#head === undefined) return;
    this.caller.head(this.#head);
  }
}
