/**
 * Remembers at which software version streams began, by the id of the request. The
 * instances tell each other, as callers take streams up again at any of them.
 */
import { LRUCache } from 'lru-cache';

import type { BegunStream, StreamOrigin } from './stream-origin.js';

/** Callers give a stream up sooner than this after its first event. */
const originTtlMs = 30_000;

/** Streams that the whole deployment begins within `originTtlMs`. */
const maxOrigins = 40_000;

/** Longer ids, which callers choose, are not remembered, as they would fill the memory. */
const maxRequestIdLength = 128;

/** Stands for a version that a target's registration does not name, in reports. */
const unnamedVersion = '';

/** Origins of the streams of all instances, as far as they are known here. */
export class StreamOrigins {
  // A bound by `max` would reserve room for all entries at once.
  readonly #origins = new LRUCache<string, StreamOrigin>({
    maxSize: maxOrigins,
    sizeCalculation: () => 1,
    ttl: originTtlMs,
  });
  #unreported: BegunStream[] = [];

  /** True while streams have begun that the other instances were not told of. */
  get hasUnreported(): boolean {
    return this.#unreported.length > 0;
  }

  /** Records which target made the first event of the stream that the request begins. */
  record(request: string, origin: StreamOrigin): void {
    if (request.length > maxRequestIdLength) return;
    this.#origins.set(request, origin);
    const { service, softwareVersion = unnamedVersion } = origin;
    this.#unreported.push([request, service, softwareVersion]);
  }

  /** Returns where the stream of the request began; undefined if that isn't known. */
  find(request: string): StreamOrigin | undefined {
    return this.#origins.get(request);
  }

  /** Returns the origins since the last call, which are reported once. */
  takeUnreported(): BegunStream[] {
    const unreported = this.#unreported;
    this.#unreported = [];
    return unreported;
  }

  /** Adds origins that another instance reported. */
  apply(begun: readonly BegunStream[]): void {
    for (const [request, service, version] of begun) {
      const softwareVersion = version === unnamedVersion ? undefined : version;
      this.#origins.set(request, { service, softwareVersion });
    }
  }
}
