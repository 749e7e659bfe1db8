/** What the instances tell each other about running and suspect requests. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { z } from 'zod';

import type { PeerMethodHandler } from '../kernel/kernel.js';
import type { PeerGroup } from '../peers/peer-group.js';
import { Failure } from '../shared/failure.js';

import type { SuspectCache } from './suspect-cache.js';
import { findOwner } from './fingerprint-owner.js';
import { RunningRequests } from './running-requests.js';
import { suspectSchema } from './suspect.js';
import type { Suspect } from './suspect.js';

export interface QuarantinePeersOptions {
  readonly instance: string;
  readonly peers: PeerGroup;
  readonly suspectCache: SuspectCache;
}

const ownerTimeoutMs = 100;
const peerTimeoutMs = 500;

const runRegistrationSchema = z.object({
  fingerprint: z.string(),
  id: z.string(),
  candidate: z.string().optional(),
});
/** A run that asks where it may go. */
export type RunRegistration = z.infer<typeof runRegistrationSchema>;

const registrationReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('free') }),
  z.object({ kind: z.literal('pinned'), target: z.string() }),
  z.object({ kind: z.literal('wait') }),
  z.object({ kind: z.literal('suspect'), suspect: suspectSchema }),
]);
/** The owner's answer to a run. */
export type RegistrationReply = z.infer<typeof registrationReplySchema>;

const reservationSchema = z.object({
  target: z.string(),
  reserved: z.boolean(),
});
const suspectListSchema = z.array(suspectSchema);

export class QuarantinePeers {
  readonly #options: QuarantinePeersOptions;
  readonly #runningRequests = new RunningRequests();
  /** Owner of each run that this instance entered, by fingerprint and id. */
  readonly #runOwners = new Map<string, Map<string, string>>();

  constructor(options: QuarantinePeersOptions) {
    this.#options = options;
  }

  /** Enters a run at the owner, or here when the owner does not answer. */
  async registerRun(entry: RunRegistration): Promise<RegistrationReply> {
    const owner = this.#findOwner(entry.fingerprint);
    const place = await this.#askOwner(owner, entry);
    if (place.kind === 'free' || place.kind === 'pinned') {
      const runs =
        this.#runOwners.get(entry.fingerprint) ?? new Map<string, string>();
      this.#runOwners.set(entry.fingerprint, runs.set(entry.id, owner));
    }
    return place;
  }

  /** Ends one run of this instance. */
  async unregisterRun({ fingerprint, id }: RunRegistration): Promise<void> {
    const runs = this.#runOwners.get(fingerprint);
    const owner = runs?.get(id);
    if (runs === undefined || owner === undefined) return;
    runs.delete(id);
    if (runs.size === 0) this.#runOwners.delete(fingerprint);
    this.#runningRequests.removeRun(fingerprint, id);
    const options = { timeoutMs: peerTimeoutMs };
    const params = { fingerprint, id };
    await this.#findPeer(owner)?.callMethod(
      'quarantine.leave',
      params,
      options,
    );
  }

  /** Ends all runs of a fingerprint of this instance. */
  unregisterRuns(fingerprint: string): void {
    const runs = this.#runOwners.get(fingerprint) ?? new Map<string, string>();
    for (const id of [...runs.keys()])
      void this.unregisterRun({ fingerprint, id });
  }

  sendSuspects(suspects: readonly Suspect[]): Promise<void> {
    return this.#callAllPeers('quarantine.suspect', suspects);
  }

  /** Reserves a target here and at every peer that answers. */
  async setTargetReserved(target: string, reserved: boolean): Promise<void> {
    this.#options.suspectCache.setReserved(target, reserved);
    await this.#callAllPeers('quarantine.reserve', { target, reserved });
  }

  /** What the first peer that answers knows. */
  async fetchSuspects(): Promise<readonly Suspect[] | undefined> {
    const options = { timeoutMs: peerTimeoutMs };
    for (const peer of this.#options.peers.listPeers()) {
      const reply = await peer.callMethod('quarantine.list', null, options);
      const suspects = suspectListSchema.safeParse(reply.extract());
      if (suspects.success) return suspects.data;
    }
    return undefined;
  }

  /** Methods that peers call, by name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    const { suspectCache: known } = this.#options;
    return new Map([
      [
        'quarantine.enter',
        method(runRegistrationSchema, entry => this.#registerLocally(entry)),
      ],
      [
        'quarantine.leave',
        method(runRegistrationSchema, ({ fingerprint, id }) => {
          this.#runningRequests.removeRun(fingerprint, id);
        }),
      ],
      [
        'quarantine.suspect',
        method(suspectListSchema, suspects => {
          for (const suspect of suspects) known.mergeSuspect(suspect);
        }),
      ],
      [
        'quarantine.reserve',
        method(reservationSchema, ({ target, reserved }) => {
          known.setReserved(target, reserved);
        }),
      ],
      ['quarantine.list', method(z.unknown(), () => known.listSuspects())],
    ]);
  }

  async #askOwner(
    owner: string,
    entry: RunRegistration,
  ): Promise<RegistrationReply> {
    const peer = this.#findPeer(owner);
    if (peer === undefined) return this.#registerLocally(entry);
    const options = { timeoutMs: ownerTimeoutMs };
    const reply = await peer.callMethod('quarantine.enter', entry, options);
    const place = registrationReplySchema.safeParse(reply.extract());
    return place.success ? place.data : this.#registerLocally(entry);
  }

  #registerLocally({
    fingerprint,
    id,
    candidate,
  }: RunRegistration): RegistrationReply {
    const suspect = this.#options.suspectCache.getSuspect(fingerprint);
    if (suspect !== undefined) return { kind: 'suspect', suspect };
    return this.#runningRequests.addRun(fingerprint, id, candidate);
  }

  #findOwner(fingerprint: string): string {
    const { peers, instance } = this.#options;
    const names = [instance, ...peers.listPeers().map(peer => peer.name)];
    return findOwner(fingerprint, names) ?? instance;
  }

  #findPeer(name: string) {
    return this.#options.peers.listPeers().find(peer => peer.name === name);
  }

  /** Calls every peer and waits until each has answered or cannot. */
  async #callAllPeers(
    createPeerMethod: string,
    params: unknown,
  ): Promise<void> {
    const options = { timeoutMs: peerTimeoutMs };
    const peers = this.#options.peers.listPeers();
    await Promise.all(
      peers.map(peer => peer.callMethod(createPeerMethod, params, options)),
    );
  }
}

const method =
  <T>(
    schema: z.ZodType<T>,
    handle: (params: T) => unknown,
  ): PeerMethodHandler =>
  params => {
    const parsed = schema.safeParse(params);
    const answer: Either<Failure, unknown> = parsed.success
      ? Right(handle(parsed.data) ?? null)
      : Left(new Failure('invalid_request', 'the message is not valid'));
    return Promise.resolve(answer);
  };
