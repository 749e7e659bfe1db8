/** Brings the newest revision to this instance from the platform or a peer. */
import type { Either } from 'purify-ts';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import type { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';

import type { ConfigurationHolder } from './configuration-holder.js';
import { snapshotSchema } from './configuration-store.js';
import type { ConfigurationStore, Snapshot } from './configuration-store.js';
import type { Head } from './revision-records.js';

const defaultPollMs = 1_500;

/** Instances told of a revision spread their reads over this time. */
const hintSpreadMs = 500;
const peerTimeoutMs = 1_000;

/** Peers asked by an instance that lacks a revision which it knows of. */
const peersAskedWhenBehind = 8;
const pollWhenBehindMs = 400;

const revisionHintSchema = z.object({ revision: z.number().int().min(0) });
const getParamsSchema = z.object({
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
  readonly pollMs?: number;
}

export class ConfigurationPoller {
  readonly #options: ConfigurationPollerOptions;
  readonly #stopping = new AbortController();
  #wake = new AbortController();
  #hinted = false;
  #head: Head | undefined;
  #task: Promise<void> = Promise.resolve();

  constructor(options: ConfigurationPollerOptions) {
    this.#options = options;
  }

  start(): void {
    this.#task = this.#run();
  }

  async stop(): Promise<void> {
    this.#stopping.abort();
    this.#wake.abort();
    await this.#task;
  }

  /** Methods that peers call, by name. */
  peerMethods(): ReadonlyMap<string, PeerHandler> {
    return new Map<string, PeerHandler>([
      ['config.revision', params => Promise.resolve(this.#hint(params))],
      ['config.get', params => Promise.resolve(this.#get(params))],
    ]);
  }

  /** Puts a revision committed here in force and tells every peer. */
  async publish(head: Head): Promise<void> {
    this.#options.holder.saw(head.revision);
    await this.#adopt(head, 'apply');
    const { revision } = head;
    this.#options.peers.broadcast('config.revision', { revision });
  }

  /** One round: the platform first, peers when it does not answer. */
  async poll(): Promise<void> {
    const { store, holder } = this.#options;
    const answer = await store.head();
    if (answer.isLeft()) return this.#askPeers();
    const head = answer.unsafeCoerce();
    holder.saw(head.revision);
    if (head.revision <= holder.revision) return;
    const loaded = await this.#adopt(head, 'platform');
    if (!loaded) await this.#askPeers();
  }

  async #run(): Promise<void> {
    const { random, log } = this.#options;
    const pollMs = this.#options.pollMs ?? defaultPollMs;
    const stopped = () => this.#stopping.signal.aborted;
    while (!stopped()) {
      this.#wake = new AbortController();
      this.#hinted = false;
      try {
        await this.poll();
      } catch (error) {
        log.event('step_failed', { step: 'config.poll', error: String(error) });
      }
      const waitMs = this.#behind ? pollWhenBehindMs : pollMs;
      await sleep(jittered(waitMs, random), this.#wake.signal);
    }
  }

  async #adopt(head: Head, source: string): Promise<boolean> {
    const { store, holder } = this.#options;
    const configuration = await store.load(head);
    return configuration.caseOf({
      Left: () => false,
      Right: loaded => {
        if (holder.offer(loaded, source) === 'accepted') this.#head = head;
        return true;
      },
    });
  }

  /** Without a revision, or with an older one than it knows to be committed. */
  get #behind(): boolean {
    const { revision, highestSeen } = this.#options.holder;
    return revision < 0 || revision < highestSeen;
  }

  /** An instance that is behind asks several peers and takes the newest. */
  async #askPeers(): Promise<void> {
    const { holder, store, peers } = this.#options;
    const asked = this.#choosePeers(this.#behind ? peersAskedWhenBehind : 1);
    const answers = await Promise.all(asked.map(peer => this.#ask(peer)));
    const newest = answers
      .filter(snapshot => snapshot !== undefined)
      .sort((a, b) => b.head.revision - a.head.revision)
      .at(0);
    if (newest === undefined) return;
    store.take(newest);
    const before = holder.revision;
    await this.#adopt(newest.head, 'peer');
    const { revision } = holder;
    if (revision > before) peers.broadcast('config.revision', { revision });
  }

  #choosePeers(count: number): readonly Peer[] {
    const { peers, random } = this.#options;
    const local = peers.localPeers();
    const pool = local.length > 0 && random() < 0.5 ? local : peers.peers();
    return [...pool]
      .map(peer => ({ peer, rank: random() }))
      .sort((a, b) => a.rank - b.rank)
      .slice(0, count)
      .map(({ peer }) => peer);
  }

  async #ask(peer: Peer): Promise<Snapshot | undefined> {
    const above = this.#options.holder.revision;
    const params = { above, base: this.#head?.manifest ?? '' };
    const answer = await peer.call('config.get', params, {
      timeoutMs: peerTimeoutMs,
    });
    return snapshotSchema.safeParse(answer.orDefault(undefined)).data;
  }

  #hint(params: unknown): Either<Failure, null> {
    const hint = revisionHintSchema.safeParse(params).data;
    if (hint === undefined) return Right(null);
    const { holder, random } = this.#options;
    holder.saw(hint.revision);
    if (hint.revision <= holder.revision || this.#hinted) return Right(null);
    this.#hinted = true;
    const wake = this.#wake;
    void sleep(random() * hintSpreadMs, this.#stopping.signal).then(() => {
      wake.abort();
    });
    return Right(null);
  }

  #get(params: unknown): Either<Failure, Snapshot | null> {
    const asked = getParamsSchema.safeParse(params).data;
    const head = this.#head;
    if (asked === undefined || head === undefined) return Right(null);
    if (head.revision <= asked.above) return Right(null);
    return Right(
      this.#options.store.snapshot(head, asked.base).extractNullable(),
    );
  }
}
