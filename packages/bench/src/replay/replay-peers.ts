/** In-process peers: messages arrive after the way between instances. */
import { Failure, Peer, PeerGroup } from '@medlarlever/core';
import type { PeerMethodHandler } from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

const peerLatencyMs = 1;

/** An instance that takes in peer messages. */
export interface PeerReceiver {
  readonly name: string;
  readonly dataCenter: string;
  readonly peerMethods: ReadonlyMap<string, PeerMethodHandler>;
}

class ReplayPeer extends Peer {
  readonly #receiver: PeerReceiver;
  readonly #senderName: string;

  constructor(receiver: PeerReceiver, from: string) {
    super();
    this.#receiver = receiver;
    this.#senderName = from;
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
    const failure = new Failure('internal', 'the replay has no peer calls');
    return Promise.resolve(Left(failure));
  }

  override sendNotification(method: string, params: unknown): void {
    setTimeout(() => {
      void this.#receiver.peerMethods.get(method)?.(params, this.#senderName);
    }, peerLatencyMs);
  }
}

export class ReplayPeerGroup extends PeerGroup {
  readonly #receivers: readonly PeerReceiver[];
  readonly #ownName: string;

  constructor(
    everyone: readonly PeerReceiver[],
    name: string,
    readonly dataCenter: string,
  ) {
    super();
    this.#receivers = everyone;
    this.#ownName = name;
  }

  override listPeers(): readonly Peer[] {
    return this.#receivers
      .filter(receiver => receiver.name !== this.#ownName)
      .map(receiver => new ReplayPeer(receiver, this.#ownName));
  }
}
