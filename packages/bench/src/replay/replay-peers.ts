/** In-process peers that deliver notifications after a simulated latency. */
import { Failure, Peer, PeerGroup } from '@medlarlever/core';
import type { PeerMethodHandler } from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Latency of a notification between two instances. */
const peerLatencyMs = 1;

/** An instance that receives notifications of its peers. */
export interface PeerReceiver {
  readonly name: string;
  readonly dataCenter: string;
  readonly peerMethods: ReadonlyMap<string, PeerMethodHandler>;
}

class ReplayPeer extends Peer {
  readonly #receiver: PeerReceiver;
  readonly #senderName: string;

  constructor(receiver: PeerReceiver, senderName: string) {
    super();
    this.#receiver = receiver;
    this.#senderName = senderName;
  }

  override get name() {
    return this.#receiver.name;
  }

  override get dataCenter() {
    return this.#receiver.dataCenter;
  }

  override get incarnation() {
    return this.#receiver.name;
  }

  override callMethod(): Promise<Either<Failure, unknown>> {
    const failure = new Failure(
      'internal',
      'replay peers support notifications only, not method calls',
    );
    return Promise.resolve(Left(failure));
  }

  override sendNotification(method: string, params: unknown): void {
    setTimeout(() => {
      void this.#receiver.peerMethods.get(method)?.(params, this.#senderName);
    }, peerLatencyMs);
  }
}

/** The other instances of a replay, as seen by the instance `ownName`. */
export class ReplayPeerGroup extends PeerGroup {
  readonly #receivers: readonly PeerReceiver[];
  readonly #ownName: string;

  constructor(
    receivers: readonly PeerReceiver[],
    ownName: string,
    readonly dataCenter: string,
  ) {
    super();
    this.#receivers = receivers;
    this.#ownName = ownName;
  }

  override listPeers(): readonly Peer[] {
    return this.#receivers
      .filter(receiver => receiver.name !== this.#ownName)
      .map(receiver => new ReplayPeer(receiver, this.#ownName));
  }
}
