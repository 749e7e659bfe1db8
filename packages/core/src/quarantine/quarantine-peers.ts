/** What the instances tell each other about running and suspect requests. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { PeerHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import { Failure } from '../shared/failure.js';

import type { KnownSuspects } from './suspect-cache.js';
import { ownerOf } from './fingerprint-owner.js';
import { RunningRequests } from './running-requests.js';
import { suspectSchema } from './suspect.js';
import type { Suspect } from './suspect.js';

export interface QuarantinePeersOptions {
  readonly instance: string;
  readonly peers: PeerGroup;
  readonly known: KnownSuspects;
}

const ownerTimeoutMs = 100;
const peerTimeoutMs = 500;

const entrySchema = z.object({
  fingerprint: z.string(),
  id: z.string(),
  candidate: z.string().optional(),
});
/** A run that asks where it may go. */
export type RunEntry = z.infer<typeof entrySchema>;

const placeSchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('free') }),
  z.object({ kind: z.literal('pinned'), target: z.string() }),
  z.object({ kind: z.literal('wait') }),
  z.object({ kind: z.literal('suspect'), suspect: suspectSchema }),
]);
/** The owner's answer to a run. */
export type Place = z.infer<typeof placeSchema>;

const reservationSchema = z.object({
  target: z.string(),
  reserved: z.boolean(),
});
const suspectsSchema = z.array(suspectSchema);

export class QuarantinePeers {
  readonly #options: QuarantinePeersOptions;
  readonly #running = new RunningRequests();
  /** Owner of each run that this instance entered, by fingerprint and id. */
  readonly #entered = new Map<string, Map<string, string>>();

  constructor(options: QuarantinePeersOptions) {
    this.#options = options;
  }

  /** Enters a run at the owner, or here when the owner does not answer. */
  async enter(entry: RunEntry): Promise<Place> {
    const owner = this.#ownerOf(entry.fingerprint);
    const place = await this.#ask(owner, entry);
    if (place.kind === 'free' || place.kind === 'pinned') {
      const runs =
        this.#entered.get(entry.fingerprint) ?? new Map<string, string>();
      this.#entered.set(entry.fingerprint, runs.set(entry.id, owner));
    }
    return place;
  }

  /** Ends one run of this instance. */
  async leave({ fingerprint, id }: RunEntry): Promise<void> {
    const runs = this.#entered.get(fingerprint);
    const owner = runs?.get(id);
    if (runs === undefined || owner === undefined) return;
    runs.delete(id);
    if (runs.size === 0) this.#entered.delete(fingerprint);
    this.#running.leave(fingerprint, id);
    const options = { timeoutMs: peerTimeoutMs };
    const params = { fingerprint, id };
    await this.#peer(owner)?.call('quarantine.leave', params, options);
  }

  /** Ends all runs of a fingerprint of this instance. */
  leaveAll(fingerprint: string): void {
    const runs = this.#entered.get(fingerprint) ?? new Map<string, string>();
    for (const id of [...runs.keys()]) void this.leave({ fingerprint, id });
  }

  tellSuspects(suspects: readonly Suspect[]): Promise<void> {
    return this.#tell('quarantine.suspect', suspects);
  }

  /** Reserves a target here and at every peer that answers. */
  async reserve(target: string, reserved: boolean): Promise<void> {
    this.#options.known.setReserved(target, reserved);
    await this.#tell('quarantine.reserve', { target, reserved });
  }

  /** What the first peer that answers knows. */
  async list(): Promise<readonly Suspect[] | undefined> {
    const options = { timeoutMs: peerTimeoutMs };
    for (const peer of this.#options.peers.peers()) {
      const reply = await peer.call('quarantine.list', null, options);
      const suspects = suspectsSchema.safeParse(reply.extract());
      if (suspects.success) return suspects.data;
    }
    return undefined;
  }

  /** Methods that peers call, by name. */
  methods(): ReadonlyMap<string, PeerHandler> {
    const { known } = this.#options;
    return new Map([
      ['quarantine.enter', method(entrySchema, entry => this.#place(entry))],
      [
        'quarantine.leave',
        method(entrySchema, ({ fingerprint, id }) => {
          this.#running.leave(fingerprint, id);
        }),
      ],
      [
        'quarantine.suspect',
        method(suspectsSchema, suspects => {
          for (const suspect of suspects) known.learn(suspect);
        }),
      ],
      [
        'quarantine.reserve',
        method(reservationSchema, ({ target, reserved }) => {
          known.setReserved(target, reserved);
        }),
      ],
      ['quarantine.list', method(z.unknown(), () => known.list())],
    ]);
  }

  async #ask(owner: string, entry: RunEntry): Promise<Place> {
    const peer = this.#peer(owner);
    if (peer === undefined) return this.#place(entry);
    const options = { timeoutMs: ownerTimeoutMs };
    const reply = await peer.call('quarantine.enter', entry, options);
    const place = placeSchema.safeParse(reply.extract());
    return place.success ? place.data : this.#place(entry);
  }

  #place({ fingerprint, id, candidate }: RunEntry): Place {
    const suspect = this.#options.known.get(fingerprint);
    if (suspect !== undefined) return { kind: 'suspect', suspect };
    return this.#running.enter(fingerprint, id, candidate);
  }

  #ownerOf(fingerprint: string): string {
    const { peers, instance } = this.#options;
    const names = [instance, ...peers.peers().map(peer => peer.name)];
    return ownerOf(fingerprint, names) ?? instance;
  }

  #peer(name: string) {
    return this.#options.peers.peers().find(peer => peer.name === name);
  }

  /** Calls every peer and waits until each has answered or cannot. */
  async #tell(method: string, params: unknown): Promise<void> {
    const options = { timeoutMs: peerTimeoutMs };
    const peers = this.#options.peers.peers();
    await Promise.all(peers.map(peer => peer.call(method, params, options)));
  }
}

const method =
  <T>(schema: z.ZodType<T>, handle: (params: T) => unknown): PeerHandler =>
  params => {
    const parsed = schema.safeParse(params);
    const answer: Either<Failure, unknown> = parsed.success
      ? Right(handle(parsed.data) ?? null)
      : Left(new Failure('invalid_request', 'the message is not valid'));
    return Promise.resolve(answer);
  };
