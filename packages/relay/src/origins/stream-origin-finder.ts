/** Finds out where a stream began that a caller takes up again. */
import { sleep } from '@medlarlever/core';
import type { Kernel, Peer } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import { streamOriginSchema } from './stream-origin.js';
import type { StreamOrigin } from './stream-origin.js';
import type { StreamOrigins } from './stream-origins.js';

/** Peer method that returns the origin of a stream, or null. */
const findOriginMethod = 'relay.stream-origin';

const findOriginParamsSchema = z.object({ request: z.string() });
const foundOriginSchema = streamOriginSchema.nullable();

/** Peers answer from memory; one that is slower is out of reach. */
const askTimeoutMs = 150;

/** A list of targets that takes longer to read is not waited for; peers are asked instead. */
const refreshTimeoutMs = 400;

/** How an origin became known; written to the log. */
export type OriginSource = 'told' | 'asked' | 'only_version' | 'unknown';

/** An origin and how it became known; undefined if it did not. */
export interface FoundOrigin {
  readonly origin: StreamOrigin | undefined;
  readonly source: OriginSource;
}

/** Dependencies of {@link StreamOriginFinder}. */
export interface StreamOriginFinderOptions {
  readonly origins: StreamOrigins;
  /** Lists the peers that may know what this instance was not told. */
  readonly listPeers: () => readonly Peer[];
  /**
   * Returns the software version of the service's targets, if there was only one for
   * longer than streams last, so that every stream began there.
   */
  readonly findOnlyVersion: (service: string) => string | undefined;
  /**
   * Reads the changes of the list of targets; resolves to false if that fails. What is
   * known otherwise may be seconds old, and the stream may have begun since at a version
   * that is new, or that is gone again.
   */
  readonly refreshTargets: () => Promise<boolean>;
}

/** Looks up origins here, by the versions that there were, and at peers. */
export class StreamOriginFinder {
  constructor(private readonly options: StreamOriginFinderOptions) {}

  /** Registers the peer method that returns an origin. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(findOriginMethod, params => {
      const { request } = findOriginParamsSchema.parse(params);
      return Promise.resolve(Right(this.options.origins.find(request) ?? null));
    });
  }

  /**
   * Finds the origin of the stream that the request began; `request` is undefined if
   * the caller did not say. `services` are those that the stream's route leads to.
   */
  async find(
    request: string | undefined,
    services: readonly string[],
  ): Promise<FoundOrigin> {
    if (request !== undefined) {
      const told = this.options.origins.find(request);
      if (told !== undefined) return { origin: told, source: 'told' };
    }
    const origin = await this.#confirmOnlyOrigin(services);
    if (origin !== undefined) return { origin, source: 'only_version' };
    const asked =
      request === undefined ? undefined : await this.#askPeers(request);
    return asked === undefined
      ? { origin: undefined, source: 'unknown' }
      : { origin: asked, source: 'asked' };
  }

  async #confirmOnlyOrigin(
    services: readonly string[],
  ): Promise<StreamOrigin | undefined> {
    if (this.#findOnlyOrigin(services) === undefined) return undefined;
    const isRefreshed = await Promise.race([
      // A defect of the read must not keep the request from its answer.
      this.options.refreshTargets().catch(() => false),
      sleep(refreshTimeoutMs).then(() => false),
    ]);
    return isRefreshed ? this.#findOnlyOrigin(services) : undefined;
  }

  #findOnlyOrigin(services: readonly string[]): StreamOrigin | undefined {
    const [service, ...others] = services;
    if (service === undefined || others.length > 0) return undefined;
    const softwareVersion = this.options.findOnlyVersion(service);
    return softwareVersion === undefined
      ? undefined
      : { service, softwareVersion };
  }

  /** Returns the first origin that a peer knows; undefined if none does in time. */
  #askPeers(request: string): Promise<StreamOrigin | undefined> {
    return new Promise(resolve => {
      const answers = this.options.listPeers().map(async peer => {
        const origin = await this.#askPeer(peer, request);
        if (origin !== undefined) resolve(origin);
      });
      void Promise.allSettled(answers).then(() => {
        resolve(undefined);
      });
    });
  }

  async #askPeer(
    peer: Peer,
    request: string,
  ): Promise<StreamOrigin | undefined> {
    const reply = await peer.callMethod(
      findOriginMethod,
      { request },
      { timeoutMs: askTimeoutMs },
    );
    // A failed call means the same as an unknown stream; the event at the end of the
    // request says that the origin is unknown.
    return reply
      .map(value => foundOriginSchema.safeParse(value).data ?? undefined)
      .orDefault(undefined);
  }
}
