/** Peers in this process, whose links a test can cut. */
import { Failure, Peer, PeerGroup } from '@medlarlever/core';
import type { PeerHandler } from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Methods of each instance, and the links that are down. */
export interface PeerNetwork {
  readonly methods: Map<string, ReadonlyMap<string, PeerHandler>>;
  readonly cutOff: Set<string>;
}

export const newPeerNetwork = (): PeerNetwork => ({
  methods: new Map(),
  cutOff: new Set(),
});

class MemoryPeer extends Peer {
  readonly incarnation = '1';

  constructor(
    readonly network: PeerNetwork,
    readonly from: string,
    readonly name: string,
    readonly dataCenter: string,
  ) {
    super();
  }

  override async call(
    method: string,
    params: unknown,
  ): Promise<Either<Failure, unknown>> {
    await Promise.resolve();
    const { cutOff, methods } = this.network;
    const handler = methods.get(this.name)?.get(method);
    if (cutOff.has(this.name) || cutOff.has(this.from) || !handler) {
      return Left(new Failure('no_target', 'the peer does not answer'));
    }
    return handler(structuredClone(params), this.from);
  }

  override notify(method: string, params: unknown): void {
    void this.call(method, params);
  }
}

export class MemoryPeerGroup extends PeerGroup {
  constructor(
    readonly network: PeerNetwork,
    readonly name: string,
    readonly dataCenter: string,
  ) {
    super();
  }

  override peers(): readonly Peer[] {
    const { cutOff, methods } = this.network;
    if (cutOff.has(this.name)) return [];
    return [...methods.keys()]
      .filter(name => name !== this.name && !cutOff.has(name))
      .map(
        name => new MemoryPeer(this.network, this.name, name, this.dataCenter),
      );
  }
}
