/** Loads the newest revision from the platform or from a peer. */
import type { Either } from 'purify-ts';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import type { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import type { ConfigurationHolder } from './configuration-holder.js';
import { configurationSnapshotSchema } from './configuration-store.js';
import type {
  ConfigurationStore,
  ConfigurationSnapshot,
} from './configuration-store.js';
import type { ConfigurationHead } from './revision-records.js';

const defaultPollIntervalMs = 1_500;

/** Instances notified of a new revision spread their reads over this time. */
const maxHintDelayMs = 500;
const peerTimeoutMs = 1_000;

/** Peers queried when this instance lacks a revision known to be committed. */
const maxPeersWhenBehind = 8;
const behindPollIntervalMs = 400;

const revisionHintSchema = z.object({ revision: z.number().int().min(0) });
const snapshotRequestSchema = z.object({
  /** Revision in force at the requesting instance; -1 if it has none. */
  above: z.number().int(),
  /** Digest of the requesting instance's manifest; empty if it has none. */
  base: z.string(),
});

export interface ConfigurationPollerOptions {
  readonly store: ConfigurationStore;
  readonly holder: ConfigurationHolder;
  readonly peers: PeerGroup;
  readonly log: Log;
  readonly random: () => number;
  readonly pollIntervalMs?: number;
}

/**
 * Polls the platform for the head revision, falls back to peers, and notifies
 * peers of new revisions.
 */
export class ConfigurationPoller {
  readonly #options: ConfigurationPollerOptions;
  readonly #stopping = new AbortController();
  #wakeController = new AbortController();
  #hasPendingHint = false;
  #head: ConfigurationHead | undefined;
  #pollTask: Promise<void> = Promise.resolve();

  constructor(options: ConfigurationPollerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#pollTask = this.#pollUntilStopped();
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#wakeController.abort();
    await this.#pollTask;
  }

  /** Handlers of the JSON-RPC methods that peers call, by method name. */
  peerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return new Map<string, PeerMethodHandler>([
      [
        'config.revision',
        params => Promise.resolve(this.#handleRevisionHint(params)),
      ],
      [
        'config.get',
        params => Promise.resolve(this.#handleSnapshotRequest(params)),
      ],
    ]);
  }

  /**
   * Puts a revision that this instance committed in force; notifies all peers.
   */
  async publish(head: ConfigurationHead): Promise<void> {
    this.#options.holder.recordCommittedRevision(head.revision);
    await this.#loadAndApply(head, 'apply');
    const { revision } = head;
    this.#options.peers.broadcast('config.revision', { revision });
  }

  /**
   * Polls the platform once, and peers if the platform can't deliver the head.
   */
  async pollOnce(): Promise<void> {
    const { store, holder } = this.#options;
    const headResult = await store.readHead();
    if (headResult.isLeft()) return this.#pollPeers();
    const head = headResult.unsafeCoerce();
    holder.recordCommittedRevision(head.revision);
    if (head.revision <= holder.revision) return;
    const isLoaded = await this.#loadAndApply(head, 'platform');
    if (!isLoaded) await this.#pollPeers();
  }

  async #pollUntilStopped(): Promise<void> {
    const { random, log } = this.#options;
    const pollMs = this.#options.pollIntervalMs ?? defaultPollIntervalMs;
    const isStopped = () => this.#stopping.signal.aborted;
    while (!isStopped()) {
      this.#wakeController = new AbortController();
      this.#hasPendingHint = false;
      try {
        await this.pollOnce();
      } catch (error) {
        log.writeEvent('step_failed', {
          step: 'config.poll',
          error: String(error),
        });
      }
      const waitMs = this.#isBehind ? behindPollIntervalMs : pollMs;
      await sleep(addJitter(waitMs, random), this.#wakeController.signal);
    }
  }

  async #loadAndApply(
    head: ConfigurationHead,
    source: string,
  ): Promise<boolean> {
    const { store, holder } = this.#options;
    const result = await store.loadConfiguration(head);
    return result.caseOf({
      Left: () => false,
      Right: configuration => {
        if (holder.applyIfNewer(configuration, source) === 'accepted')
          this.#head = head;
        return true;
      },
    });
  }

  /** True without a revision, or if a newer one is known to be committed. */
  get #isBehind(): boolean {
    const { revision, highestCommittedRevision } = this.#options.holder;
    return revision < 0 || revision < highestCommittedRevision;
  }

  /**
   * Queries one peer, or several if behind, and applies the newest snapshot.
   */
  async #pollPeers(): Promise<void> {
    const { holder, store, peers } = this.#options;
    const queriedPeers = this.#choosePeers(
      this.#isBehind ? maxPeersWhenBehind : 1,
    );
    const responses = await Promise.all(
      queriedPeers.map(peer => this.#requestSnapshot(peer)),
    );
    const newestSnapshot = responses
      .filter(snapshot => snapshot !== undefined)
      .sort((a, b) => b.head.revision - a.head.revision)
      .at(0);
    if (newestSnapshot === undefined) return;
    store.cacheSnapshot(newestSnapshot);
    const previousRevision = holder.revision;
    await this.#loadAndApply(newestSnapshot.head, 'peer');
    const { revision } = holder;
    if (revision > previousRevision)
      peers.broadcast('config.revision', { revision });
  }

  #choosePeers(count: number): readonly Peer[] {
    const { peers, random } = this.#options;
    const localPeers = peers.listLocalPeers();
    const candidates =
      localPeers.length > 0 && random() < 0.5 ? localPeers : peers.listPeers();
    return [...candidates]
      .map(peer => ({ peer, rank: random() }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ peer }) => peer);
  }

  async #requestSnapshot(
    peer: Peer,
  ): Promise<ConfigurationSnapshot | undefined> {
    const above = this.#options.holder.revision;
    const params = { above, base: this.#head?.manifest ?? '' };
    const result = await peer.callMethod('config.get', params, {
      timeoutMs: peerTimeoutMs,
    });
    return configurationSnapshotSchema.safeParse(result.orDefault(undefined))
      .data;
  }

  #handleRevisionHint(params: unknown): Either<Failure, null> {
    const hint = revisionHintSchema.safeParse(params).data;
    if (hint === undefined) return Right(null);
    const { holder, random } = this.#options;
    holder.recordCommittedRevision(hint.revision);
    if (hint.revision <= holder.revision || this.#hasPendingHint)
      return Right(null);
    this.#hasPendingHint = true;
    const wakeController = this.#wakeController;
    void sleep(random() * maxHintDelayMs, this.#stopping.signal).then(() => {
      wakeController.abort();
    });
    return Right(null);
  }

  #handleSnapshotRequest(
    params: unknown,
  ): Either<Failure, ConfigurationSnapshot | null> {
    const request = snapshotRequestSchema.safeParse(params).data;
    const head = this.#head;
    if (request === undefined || head === undefined) return Right(null);
    if (head.revision <= request.above) return Right(null);
    return Right(
      this.#options.store.createSnapshot(head, request.base).extractNullable(),
    );
  }
}
