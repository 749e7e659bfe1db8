/** Follows a stream that an earlier dispatch began, wherever it went. */
import { sleep } from '../shared/time.js';
import type { Chunk, StreamItem } from '../target/target.js';

import { ChunkBuffer } from './chunk-buffer.js';
import { readEngineStream } from './engine-stream.js';
import type { StreamOutcome } from './engine-stream.js';
import type { LocatedStream, StreamLocation } from './stream-locations.js';
import type { StreamContext } from './stream-context.js';
import { createStreamKey, createStreamNotFoundFailure } from './stream-id.js';
import type { StreamOrigin } from './stream-id.js';

export interface ResumedStreamOptions {
  readonly context: StreamContext;
  readonly address: StreamOrigin;
  /** Index of the last chunk that the caller has. */
  readonly afterIndex: number;
  readonly signal: AbortSignal;
  readonly emitItem: (item: StreamItem) => Promise<boolean>;
}

/** Pause between two questions after where a broken stream went. */
const locateRetryMs = 500;

export class ResumedStream {
  readonly #options: ResumedStreamOptions;
  readonly #chunkBuffer: ChunkBuffer;
  #location: StreamLocation;

  constructor(options: ResumedStreamOptions) {
    this.#options = options;
    this.#chunkBuffer = new ChunkBuffer(options.afterIndex + 1);
    const { engine, id } = options.address;
    this.#location = { engine, id, from: 0 };
  }

  /** Runs to the final item; `undefined` when the caller is detached. */
  async run(): Promise<StreamItem | undefined> {
    const { context, signal } = this.#options;
    let untilMs = Date.now() + context.settings.rejoin_ms;
    while (!signal.aborted) {
      const before = this.#chunkBuffer.nextIndex;
      const outcome = await this.#readCurrentEngine();
      if (outcome.kind === 'aborted') return undefined;
      if (outcome.kind === 'ended' && outcome.end.reason !== 'moved') {
        return { kind: 'end', end: outcome.end };
      }
      if (this.#chunkBuffer.nextIndex > before) {
        untilMs = Date.now() + context.settings.rejoin_ms;
      }
      const found = await this.#waitForNextLocation(untilMs);
      if (!found)
        return { kind: 'failure', failure: createStreamNotFoundFailure() };
    }
    return undefined;
  }

  async #readCurrentEngine(): Promise<StreamOutcome> {
    const { context, signal } = this.#options;
    const { id } = this.#location;
    const engine = context.findEngine(this.#location.engine);
    if (engine === undefined) return { kind: 'crashed' };
    const stream = readEngineStream({
      engine,
      id,
      openConnection: connection =>
        engine.resumeStream(id, this.#chunkBuffer.nextIndex - 1, connection),
      chunkBuffer: this.#chunkBuffer,
      signal,
      isReplaced: () => context.isReplaced(engine),
      log: context.options.log,
      silenceTimeoutMs: context.settings.silence_ms,
      probeTimeoutMs: context.settings.probe_ms,
    });
    for (;;) {
      const result = await stream.next();
      if (result.done === true) return result.value;
      if (await this.#emitChunk(result.value)) continue;
      await stream.return({ kind: 'aborted' });
      return { kind: 'aborted' };
    }
  }

  /** Waits until the stream's next place is known; false after the limit. */
  async #waitForNextLocation(untilMs: number): Promise<boolean> {
    const { address, context, signal } = this.#options;
    do {
      const located = await context.streamLocations.locateStream(
        createStreamKey(address),
        this.#chunkBuffer.nextIndex,
      );
      if (located !== undefined && this.#isNewLocation(located)) {
        return this.#moveToLocation(located);
      }
    } while (Date.now() < untilMs && (await sleep(locateRetryMs, signal)));
    return false;
  }

  #isNewLocation({ place }: LocatedStream): boolean {
    return (
      place.engine !== this.#location.engine || place.id !== this.#location.id
    );
  }

  /** Sends what the new place lacks; false when that is lost. */
  async #moveToLocation({
    place,
    texts = [],
  }: LocatedStream): Promise<boolean> {
    this.#location = place;
    for (
      let index = this.#chunkBuffer.nextIndex;
      index < place.from;
      index += 1
    ) {
      const text = texts[index];
      if (text === undefined) return false;
      await this.#emitChunks(this.#chunkBuffer.acceptChunk({ index, text }));
    }
    return true;
  }

  async #emitChunks(chunks: readonly Chunk[]): Promise<void> {
    for (const chunk of chunks) await this.#emitChunk(chunk);
  }

  #emitChunk(chunk: Chunk): Promise<boolean> {
    return this.#options.emitItem({ kind: 'chunk', chunk });
  }
}
