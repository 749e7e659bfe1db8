/** Where streams went on after the engine that began them. */
import { LRUCache } from 'lru-cache';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';

/** A later place of a stream. */
const locationSchema = z.object({
  engine: z.string(),
  id: z.string(),
  /** Index of the first chunk that this engine has. */
  from: z.number().int().nonnegative(),
});
export type StreamLocation = z.infer<typeof locationSchema>;

const movedStreamSchema = z.object({ key: z.string(), place: locationSchema });

const locatedStreamSchema = z.object({
  place: locationSchema,
  /** Chunks before `from`, where they are still held. */
  texts: z.array(z.string()).optional(),
});
/** A place with the chunks that it lacks. */
export type LocatedStream = z.infer<typeof locatedStreamSchema>;

const movedStreamMethod = 'streams.moved';
const locateStreamMethod = 'streams.locate';

const maxLocations = 16_384;
const maxTextCharacters = 16_777_216;
const locateTimeoutMs = 1_000;

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

  /** Records where a stream goes on, and tells the peers the place. */
  recordLocation(
    key: string,
    place: StreamLocation,
    texts: readonly string[],
  ): void {
    this.#locations.set(key, place);
    this.#texts.set(key, [...texts]);
    this.peers.broadcast(movedStreamMethod, { key, place });
  }

  /** The last known place; asks the peers when it or its start is unknown. */
  async locateStream(
    key: string,
    next: number,
  ): Promise<LocatedStream | undefined> {
    const known = this.#findLocal(key);
    const whole =
      known !== undefined &&
      (known.place.from <= next || known.texts !== undefined);
    if (whole) return known;
    const answers = await Promise.all(
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
    const located = answers.flatMap(answer => {
      const parsed = locatedStreamSchema.safeParse(answer.extract());
      return parsed.success ? [parsed.data] : [];
    });
    const complete = located.find(({ texts }) => texts !== undefined);
    return complete ?? located[0] ?? known;
  }

  /** Methods for peers to call, by name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    const moved: PeerMethodHandler = params => {
      const hint = movedStreamSchema.safeParse(params);
      if (hint.success) this.#locations.set(hint.data.key, hint.data.place);
      return Promise.resolve(Right(null));
    };
    const locate: PeerMethodHandler = params => {
      const asked = z.object({ key: z.string() }).safeParse(params);
      const held = asked.success ? this.#findLocal(asked.data.key) : undefined;
      return Promise.resolve(Right(held ?? null));
    };
    return new Map([
      [movedStreamMethod, moved],
      [locateStreamMethod, locate],
    ]);
  }

  #findLocal(key: string): LocatedStream | undefined {
    const place = this.#locations.get(key);
    return place && { place, texts: this.#texts.get(key)?.slice() };
  }
}
