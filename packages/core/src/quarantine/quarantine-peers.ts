/**
 * Exchanges between the instances which requests are running, which requests
 * are suspected of crashing targets, and which targets are reserved for
 * isolated runs.
 */
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

/** Options of `QuarantinePeers`; `instance` is the name of this instance. */
export interface QuarantinePeersOptions {
  readonly instance: string;
  readonly peers: PeerGroup;
  readonly suspectCache: SuspectCache;
}

/** Timeout of the request to the owner, which delays every run. */
const ownerTimeoutMs = 100;
/** Timeout of all other messages to peers. */
const peerTimeoutMs = 500;

const runRegistrationSchema = z.object({
  fingerprint: z.string(),
  id: z.string(),
  candidate: z.string().optional(),
});
/**
 * A run of a request that asks its owner for a target. The optional `candidate`
 * is the target that the caller would use.
 */
export type RunRegistration = z.infer<typeof runRegistrationSchema>;

const registrationReplySchema = z.discriminatedUnion('kind', [
  z.object({ kind: z.literal('free') }),
  z.object({ kind: z.literal('pinned'), target: z.string() }),
  z.object({ kind: z.literal('wait') }),
  z.object({ kind: z.literal('suspect'), suspect: suspectSchema }),
]);
/**
 * Reply of the instance that owns the request's fingerprint. `free`: run on the
 * candidate; `pinned`: run on `target`, which already runs the same request;
 * `wait`: ask again later; `suspect`: treat the request as suspected of causing
 * a crash.
 */
export type RegistrationReply = z.infer<typeof registrationReplySchema>;

const reservationSchema = z.object({
  target: z.string(),
  reserved: z.boolean(),
});
const suspectListSchema = z.array(suspectSchema);

/** Sends and receives the quarantine messages between instances. */
export class QuarantinePeers {
  readonly #options: QuarantinePeersOptions;
  readonly #runningRequests = new RunningRequests();
  /**
   * Name of the owner of each run that this instance registered, by fingerprint
   * and run id.
   */
  readonly #runOwners = new Map<string, Map<string, string>>();

  constructor(options: QuarantinePeersOptions) {
    this.#options = options;
  }

  /**
   * Registers a run with the owner of its fingerprint, or at this instance if
   * the owner does not answer.
   */
  async registerRun(registration: RunRegistration): Promise<RegistrationReply> {
    const owner = this.#findOwner(registration.fingerprint);
    const reply = await this.#askOwner(owner, registration);
    if (reply.kind === 'free' || reply.kind === 'pinned') {
      const runs =
        this.#runOwners.get(registration.fingerprint) ??
        new Map<string, string>();
      this.#runOwners.set(
        registration.fingerprint,
        runs.set(registration.id, owner),
      );
    }
    return reply;
  }

  /** Removes the registration of one run of this instance. */
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

  /**
   * Removes the registrations of all runs of a fingerprint at this instance.
   */
  unregisterRuns(fingerprint: string): void {
    const runs = this.#runOwners.get(fingerprint) ?? new Map<string, string>();
    for (const id of [...runs.keys()])
      void this.unregisterRun({ fingerprint, id });
  }

  /**
   * Sends the suspects to all peers and waits until each peer has answered or
   * failed.
   */
  sendSuspects(suspects: readonly Suspect[]): Promise<void> {
    return this.#callAllPeers('quarantine.suspect', suspects);
  }

  /**
   * Sets or clears the reservation of a target at this instance and at every
   * peer that answers.
   */
  async setTargetReserved(target: string, reserved: boolean): Promise<void> {
    this.#options.suspectCache.setReserved(target, reserved);
    await this.#callAllPeers('quarantine.reserve', { target, reserved });
  }

  /**
   * Returns the suspects known to the first peer that answers, or `undefined`
   * if none does.
   */
  async fetchSuspects(): Promise<readonly Suspect[] | undefined> {
    const options = { timeoutMs: peerTimeoutMs };
    for (const peer of this.#options.peers.listPeers()) {
      const reply = await peer.callMethod('quarantine.list', null, options);
      const suspects = suspectListSchema.safeParse(reply.extract());
      if (suspects.success) return suspects.data;
    }
    return undefined;
  }

  /** Returns the handlers of the methods that peers call, by method name. */
  getPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    const { suspectCache } = this.#options;
    return new Map([
      [
        'quarantine.enter',
        createHandler(runRegistrationSchema, registration =>
          this.#registerLocally(registration),
        ),
      ],
      [
        'quarantine.leave',
        createHandler(runRegistrationSchema, ({ fingerprint, id }) => {
          this.#runningRequests.removeRun(fingerprint, id);
        }),
      ],
      [
        'quarantine.suspect',
        createHandler(suspectListSchema, suspects => {
          for (const suspect of suspects) suspectCache.mergeSuspect(suspect);
        }),
      ],
      [
        'quarantine.reserve',
        createHandler(reservationSchema, ({ target, reserved }) => {
          suspectCache.setReserved(target, reserved);
        }),
      ],
      [
        'quarantine.list',
        createHandler(z.unknown(), () => suspectCache.listSuspects()),
      ],
    ]);
  }

  async #askOwner(
    owner: string,
    registration: RunRegistration,
  ): Promise<RegistrationReply> {
    const peer = this.#findPeer(owner);
    if (peer === undefined) return this.#registerLocally(registration);
    const options = { timeoutMs: ownerTimeoutMs };
    const reply = await peer.callMethod(
      'quarantine.enter',
      registration,
      options,
    );
    const parsed = registrationReplySchema.safeParse(reply.extract());
    return parsed.success ? parsed.data : this.#registerLocally(registration);
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

  /**
   * Calls a method of every peer and waits until each peer has answered or
   * failed.
   */
  async #callAllPeers(methodName: string, params: unknown): Promise<void> {
    const options = { timeoutMs: peerTimeoutMs };
    const peers = this.#options.peers.listPeers();
    await Promise.all(
      peers.map(peer => peer.callMethod(methodName, params, options)),
    );
  }
}

const createHandler =
  <T>(
    schema: z.ZodType<T>,
    handle: (params: T) => unknown,
  ): PeerMethodHandler =>
  params => {
    const parsed = schema.safeParse(params);
    const result: Either<Failure, unknown> = parsed.success
      ? Right(handle(parsed.data) ?? null)
      : Left(
          new Failure(
            'invalid_request',
            'the quarantine message of the peer is not valid; check that all instances run compatible versions',
          ),
        );
    return Promise.resolve(result);
  };
