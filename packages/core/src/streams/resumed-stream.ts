/** Resumes the stream of an earlier dispatch, on any engine it moved to. */
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
  /** Index of the last chunk that the caller has received, or -1. */
  readonly afterIndex: number;
  readonly signal: AbortSignal;
  /** Delivers an item to the caller; false when its stream has ended. */
  readonly emitItem: (item: StreamItem) => Promise<boolean>;
}

/** Delay between two requests for the next location of a broken stream. */
const locateRetryMs = 500;

/** Reads a stream from its engines, in order, until it ends. */
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

  /**
   * Reads until the generation ends and returns the final item, or `undefined`
   * if `signal` aborts first because the caller's stream was closed.
   */
  async run(): Promise<StreamItem | undefined> {
    const { context, signal } = this.#options;
    let deadlineMs = Date.now() + context.settings.rejoin_ms;
    while (!signal.aborted) {
      const previousIndex = this.#chunkBuffer.nextIndex;
      const outcome = await this.#readCurrentEngine();
      if (outcome.kind === 'aborted') return undefined;
      if (outcome.kind === 'ended' && outcome.end.reason !== 'moved') {
        return { kind: 'end', end: outcome.end };
      }
      if (this.#chunkBuffer.nextIndex > previousIndex) {
        deadlineMs = Date.now() + context.settings.rejoin_ms;
      }
      const hasLocation = await this.#waitForNextLocation(deadlineMs);
      if (!hasLocation)
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
      openConnection: connectionSignal =>
        engine.resumeStream(
          id,
          this.#chunkBuffer.nextIndex - 1,
          connectionSignal,
        ),
      chunkBuffer: this.#chunkBuffer,
      signal,
      isReplaced: () => context.isReplaced(engine),
      log: context.options.log,
      silenceTimeoutMs: context.settings.silence_ms,
      probeTimeoutMs: context.settings.probe_ms,
    });
    for (;;) {
      const readResult = await stream.next();
      if (readResult.done === true) return readResult.value;
      if (await this.#emitChunk(readResult.value)) continue;
      await stream.return({ kind: 'aborted' });
      return { kind: 'aborted' };
    }
  }

  /**
   * Waits for a new location of the stream until `deadlineMs`, in milliseconds
   * since the Unix epoch. Returns false if none is found by then.
   */
  async #waitForNextLocation(deadlineMs: number): Promise<boolean> {
    const { address, context, signal } = this.#options;
    do {
      const located = await context.streamLocations.locateStream(
        createStreamKey(address),
        this.#chunkBuffer.nextIndex,
      );
      if (located !== undefined && this.#isNewLocation(located)) {
        return this.#moveToLocation(located);
      }
    } while (Date.now() < deadlineMs && (await sleep(locateRetryMs, signal)));
    return false;
  }

  #isNewLocation({ place }: LocatedStream): boolean {
    return (
      place.engine !== this.#location.engine || place.id !== this.#location.id
    );
  }

  /**
   * Moves to a new location and delivers the chunks that its engine does not
   * have. Returns false when one of these chunks is lost.
   */
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
