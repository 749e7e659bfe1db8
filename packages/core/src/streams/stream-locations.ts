/** Records which engine runs each stream and shares it between instances. */
import { LRUCache } from 'lru-cache';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';

/** An engine that runs a stream, from a chunk on. */
const locationSchema = z.object({
  engine: z.string(),
  id: z.string(),
  /** Index of the first chunk that this engine generates. */
  from: z.number().int().nonnegative(),
});
export type StreamLocation = z.infer<typeof locationSchema>;

const movedStreamSchema = z.object({ key: z.string(), place: locationSchema });

const locatedStreamSchema = z.object({
  place: locationSchema,
  /** Texts of the chunks before `from`, if they are still in memory. */
  texts: z.array(z.string()).optional(),
});
/** A location with the chunks that its engine does not have. */
export type LocatedStream = z.infer<typeof locatedStreamSchema>;

const movedStreamMethod = 'streams.moved';
const locateStreamMethod = 'streams.locate';

const maxLocations = 16_384;
/** Total characters of chunk texts kept for all streams. */
const maxTextCharacters = 16_777_216;
const locateTimeoutMs = 1_000;

/** Keeps the most recently used streams in memory; peers hold their own. */
export class StreamLocations {
  readonly #locations = new LRUCache<string, StreamLocation>({
    max: maxLocations,
  });
  readonly #texts = new LRUCache<string, readonly string[]>({
    maxSize: maxTextCharacters,
    sizeCalculation: texts =>
      1 + texts.reduce((sum, text) => sum + text.length, 0),
  });

  constructor(private readonly peers: PeerGroup) {}

  /**
   * Records the new location of a stream and broadcasts it to the peers.
   * `texts` are the chunks before it.
   */
  recordLocation(
    key: string,
    place: StreamLocation,
    texts: readonly string[],
  ): void {
    this.#locations.set(key, place);
    this.#texts.set(key, [...texts]);
    this.peers.broadcast(movedStreamMethod, { key, place });
  }

  /**
   * Returns the last known location. Asks the peers when no location is known
   * locally, or when chunks between `nextIndex` and the location are missing.
   */
  async locateStream(
    key: string,
    nextIndex: number,
  ): Promise<LocatedStream | undefined> {
    const localStream = this.#findLocal(key);
    const isComplete =
      localStream !== undefined &&
      (localStream.place.from <= nextIndex || localStream.texts !== undefined);
    if (isComplete) return localStream;
    const responses = await Promise.all(
      this.peers
        .listPeers()
        .map(peer =>
          peer.callMethod(
            locateStreamMethod,
            { key },
            { timeoutMs: locateTimeoutMs },
          ),
        ),
    );
    const located = responses.flatMap(response => {
      const parsed = locatedStreamSchema.safeParse(response.extract());
      return parsed.success ? [parsed.data] : [];
    });
    const streamWithTexts = located.find(({ texts }) => texts !== undefined);
    return streamWithTexts ?? located[0] ?? localStream;
  }

  /** Handlers of the methods that peers call, by method name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    const handleMoved: PeerMethodHandler = params => {
      const parsedParams = movedStreamSchema.safeParse(params);
      if (parsedParams.success)
        this.#locations.set(parsedParams.data.key, parsedParams.data.place);
      return Promise.resolve(Right(null));
    };
    const handleLocate: PeerMethodHandler = params => {
      const parsedParams = z.object({ key: z.string() }).safeParse(params);
      const localStream = parsedParams.success
        ? this.#findLocal(parsedParams.data.key)
        : undefined;
      return Promise.resolve(Right(localStream ?? null));
    };
    return new Map([
      [movedStreamMethod, handleMoved],
      [locateStreamMethod, handleLocate],
    ]);
  }

  #findLocal(key: string): LocatedStream | undefined {
    const place = this.#locations.get(key);
    return place && { place, texts: this.#texts.get(key)?.slice() };
  }
}
