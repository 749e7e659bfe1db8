/** In-process peers: messages arrive after the way between instances. */
import { Failure, Peer, PeerGroup } from '@medlarlever/core';
import type { PeerMethodHandler } from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

const wayMs = 1;

/** An instance that takes in peer messages. */
export interface PeerReceiver {
  readonly name: string;
  readonly dataCenter: string;
  readonly peerMethods: ReadonlyMap<string, PeerMethodHandler>;
}

class ReplayPeer extends Peer {
  readonly #receiver: PeerReceiver;
  readonly #from: string;

  constructor(receiver: PeerReceiver, from: string) {
    super();
    this.#receiver = receiver;
    this.#from = from;
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
      void this.#receiver.peerMethods.get(method)?.(params, this.#from);
    }, wayMs);
  }
}

export class ReplayPeerGroup extends PeerGroup {
  readonly #everyone: readonly PeerReceiver[];
  readonly #name: string;

  constructor(
    everyone: readonly PeerReceiver[],
    name: string,
    readonly dataCenter: string,
  ) {
    super();
    this.#everyone = everyone;
    this.#name = name;
  }

  override listPeers(): readonly Peer[] {
    return this.#everyone
      .filter(receiver => receiver.name !== this.#name)
      .map(receiver => new ReplayPeer(receiver, this.#name));
  }
}
