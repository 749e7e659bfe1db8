/** Where streams went on after the engine that began them. */
import { LRUCache } from 'lru-cache';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';

/** A later place of a stream. */
const placeSchema = z.object({
  engine: z.string(),
  id: z.string(),
  /** Index of the first chunk that this engine has. */
  from: z.number().int().nonnegative(),
});
export type StreamPlace = z.infer<typeof placeSchema>;

const hintSchema = z.object({ key: z.string(), place: placeSchema });

const locatedSchema = z.object({
  place: placeSchema,
  /** Chunks before `from`, where they are still held. */
  texts: z.array(z.string()).optional(),
});
/** A place with the chunks that it lacks. */
export type LocatedStream = z.infer<typeof locatedSchema>;

const movedMethod = 'streams.moved';
const locateMethod = 'streams.locate';

const maxEntries = 16_384;
const maxCharacters = 16_777_216;
const locateTimeoutMs = 1_000;

export class MovedStreams {
  readonly #places = new LRUCache<string, StreamPlace>({ max: maxEntries });
  readonly #texts = new LRUCache<string, readonly string[]>({
    maxSize: maxCharacters,
    sizeCalculation: texts =>
      1 + texts.reduce((sum, text) => sum + text.length, 0),
  });

  constructor(private readonly peers: PeerGroup) {}

  /** Records where a stream goes on, and tells the peers the place. */
  moved(key: string, place: StreamPlace, texts: readonly string[]): void {
    this.#places.set(key, place);
    this.#texts.set(key, [...texts]);
    this.peers.broadcast(movedMethod, { key, place });
  }

  /** The last known place; asks the peers when it or its start is unknown. */
  async locate(key: string, next: number): Promise<LocatedStream | undefined> {
    const known = this.#held(key);
    const whole =
      known !== undefined &&
      (known.place.from <= next || known.texts !== undefined);
    if (whole) return known;
    const answers = await Promise.all(
      this.peers
        .peers()
        .map(peer =>
          peer.call(locateMethod, { key }, { timeoutMs: locateTimeoutMs }),
        ),
    );
    const located = answers.flatMap(answer => {
      const parsed = locatedSchema.safeParse(answer.extract());
      return parsed.success ? [parsed.data] : [];
    });
    const complete = located.find(({ texts }) => texts !== undefined);
    return complete ?? located[0] ?? known;
  }

  /** Methods for peers to call, by name. */
  peerMethods(): ReadonlyMap<string, PeerHandler> {
    const moved: PeerHandler = params => {
      const hint = hintSchema.safeParse(params);
      if (hint.success) this.#places.set(hint.data.key, hint.data.place);
      return Promise.resolve(Right(null));
    };
    const locate: PeerHandler = params => {
      const asked = z.object({ key: z.string() }).safeParse(params);
      const held = asked.success ? this.#held(asked.data.key) : undefined;
      return Promise.resolve(Right(held ?? null));
    };
    return new Map([
      [movedMethod, moved],
      [locateMethod, locate],
    ]);
  }

  #held(key: string): LocatedStream | undefined {
    const place = this.#places.get(key);
    return place && { place, texts: this.#texts.get(key)?.slice() };
  }
}
