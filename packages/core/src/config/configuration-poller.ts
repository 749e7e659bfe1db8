/** Brings the newest revision to this instance from the platform or a peer. */
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

/** Instances told of a revision spread their reads over this time. */
const maxHintDelayMs = 500;
const peerTimeoutMs = 1_000;

/** Peers asked by an instance that lacks a revision which it knows of. */
const maxPeersWhenBehind = 8;
const behindPollIntervalMs = 400;

const revisionHintSchema = z.object({ revision: z.number().int().min(0) });
const snapshotRequestSchema = z.object({
  /** Revision held by the asking instance, or -1. */
  above: z.number().int(),
  /** Digest of the manifest that it holds. */
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

  /** Methods that peers call, by name. */
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

  /** Puts a revision committed here in force and tells every peer. */
  async publish(head: ConfigurationHead): Promise<void> {
    this.#options.holder.recordCommittedRevision(head.revision);
    await this.#loadAndApply(head, 'apply');
    const { revision } = head;
    this.#options.peers.broadcast('config.revision', { revision });
  }

  /** One round: the platform first, peers when it does not answer. */
  async pollOnce(): Promise<void> {
    const { store, holder } = this.#options;
    const answer = await store.readHead();
    if (answer.isLeft()) return this.#pollPeers();
    const head = answer.unsafeCoerce();
    holder.recordCommittedRevision(head.revision);
    if (head.revision <= holder.revision) return;
    const loaded = await this.#loadAndApply(head, 'platform');
    if (!loaded) await this.#pollPeers();
  }

  async #pollUntilStopped(): Promise<void> {
    const { random, log } = this.#options;
    const pollMs = this.#options.pollIntervalMs ?? defaultPollIntervalMs;
    const stopped = () => this.#stopping.signal.aborted;
    while (!stopped()) {
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
    const configuration = await store.loadConfiguration(head);
    return configuration.caseOf({
      Left: () => false,
      Right: loaded => {
        if (holder.applyIfNewer(loaded, source) === 'accepted')
          this.#head = head;
        return true;
      },
    });
  }

  /** Without a revision, or with an older one than it knows to be committed. */
  get #isBehind(): boolean {
    const { revision, highestCommittedRevision: highestSeen } =
      this.#options.holder;
    return revision < 0 || revision < highestSeen;
  }

  /** An instance that is behind asks several peers and takes the newest. */
  async #pollPeers(): Promise<void> {
    const { holder, store, peers } = this.#options;
    const asked = this.#choosePeers(this.#isBehind ? maxPeersWhenBehind : 1);
    const answers = await Promise.all(
      asked.map(peer => this.#requestSnapshot(peer)),
    );
    const newest = answers
      .filter(snapshot => snapshot !== undefined)
      .sort((a, b) => b.head.revision - a.head.revision)
      .at(0);
    if (newest === undefined) return;
    store.cacheSnapshot(newest);
    const before = holder.revision;
    await this.#loadAndApply(newest.head, 'peer');
    const { revision } = holder;
    if (revision > before) peers.broadcast('config.revision', { revision });
  }

  #choosePeers(count: number): readonly Peer[] {
    const { peers, random } = this.#options;
    const local = peers.listLocalPeers();
    const pool = local.length > 0 && random() < 0.5 ? local : peers.listPeers();
    return [...pool]
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
    const answer = await peer.callMethod('config.get', params, {
      timeoutMs: peerTimeoutMs,
    });
    return configurationSnapshotSchema.safeParse(answer.orDefault(undefined))
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
    const wake = this.#wakeController;
    void sleep(random() * maxHintDelayMs, this.#stopping.signal).then(() => {
      wake.abort();
    });
    return Right(null);
  }

  #handleSnapshotRequest(
    params: unknown,
  ): Either<Failure, ConfigurationSnapshot | null> {
    const asked = snapshotRequestSchema.safeParse(params).data;
    const head = this.#head;
    if (asked === undefined || head === undefined) return Right(null);
    if (head.revision <= asked.above) return Right(null);
    return Right(
      this.#options.store.createSnapshot(head, asked.base).extractNullable(),
    );
  }
}
