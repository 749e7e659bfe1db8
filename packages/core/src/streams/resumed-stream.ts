/** Follows a stream that an earlier dispatch began, wherever it went. */
import { sleep } from '../shared/time.js';
import type { Chunk, StreamItem } from '../target/target.js';

import { AnswerText } from './chunk-buffer.js';
import { readEngineStream } from './engine-stream.js';
import type { StreamOutcome } from './engine-stream.js';
import type { LocatedStream, StreamPlace } from './stream-locations.js';
import type { StreamContext } from './stream-context.js';
import { streamKey, streamNotFound } from './stream-id.js';
import type { StreamAddress } from './stream-id.js';

export interface RejoinOptions {
  readonly context: StreamContext;
  readonly address: StreamAddress;
  /** Index of the last chunk that the caller has. */
  readonly after: number;
  readonly signal: AbortSignal;
  readonly emit: (item: StreamItem) => Promise<boolean>;
}

/** Pause between two questions after where a broken stream went. */
const locateMs = 500;

export class RejoinedStream {
  readonly #options: RejoinOptions;
  readonly #answer: AnswerText;
  #place: StreamPlace;

  constructor(options: RejoinOptions) {
    this.#options = options;
    this.#answer = new AnswerText(options.after + 1);
    const { engine, id } = options.address;
    this.#place = { engine, id, from: 0 };
  }

  /** Runs to the final item; `undefined` when the caller is detached. */
  async run(): Promise<StreamItem | undefined> {
    const { context, signal } = this.#options;
    let untilMs = Date.now() + context.settings.rejoin_ms;
    while (!signal.aborted) {
      const before = this.#answer.next;
      const outcome = await this.#follow();
      if (outcome.kind === 'aborted') return undefined;
      if (outcome.kind === 'ended' && outcome.end.reason !== 'moved') {
        return { kind: 'end', end: outcome.end };
      }
      if (this.#answer.next > before) {
        untilMs = Date.now() + context.settings.rejoin_ms;
      }
      const found = await this.#goOn(untilMs);
      if (!found) return { kind: 'failure', failure: streamNotFound() };
    }
    return undefined;
  }

  async #follow(): Promise<StreamOutcome> {
    const { context, signal } = this.#options;
    const { id } = this.#place;
    const engine = context.engine(this.#place.engine);
    if (engine === undefined) return { kind: 'crashed' };
    const stream = readEngineStream({
      engine,
      id,
      open: connection => engine.resume(id, this.#answer.next - 1, connection),
      answer: this.#answer,
      signal,
      replaced: () => context.replaced(engine),
      log: context.options.log,
      silenceMs: context.settings.silence_ms,
      probeMs: context.settings.probe_ms,
    });
    for (;;) {
      const result = await stream.next();
      if (result.done === true) return result.value;
      if (await this.#emit(result.value)) continue;
      await stream.return({ kind: 'aborted' });
      return { kind: 'aborted' };
    }
  }

  /** Waits until the stream's next place is known; false after the limit. */
  async #goOn(untilMs: number): Promise<boolean> {
    const { address, context, signal } = this.#options;
    do {
      const located = await context.moved.locate(
        streamKey(address),
        this.#answer.next,
      );
      if (located !== undefined && this.#isNew(located)) {
        return this.#moveTo(located);
      }
    } while (Date.now() < untilMs && (await sleep(locateMs, signal)));
    return false;
  }

  #isNew({ place }: LocatedStream): boolean {
    return place.engine !== this.#place.engine || place.id !== this.#place.id;
  }

  /** Sends what the new place lacks; false when that is lost. */
  async #moveTo({ place, texts = [] }: LocatedStream): Promise<boolean> {
    this.#place = place;
    for (let index = this.#answer.next; index < place.from; index += 1) {
      const text = texts[index];
      if (text === undefined) return false;
      await this.#emitAll(this.#answer.accept({ index, text }));
    }
    return true;
  }

  async #emitAll(chunks: readonly Chunk[]): Promise<void> {
    for (const chunk of chunks) await this.#emit(chunk);
  }

  #emit(chunk: Chunk): Promise<boolean> {
    return this.#options.emit({ kind: 'chunk', chunk });
  }
}
