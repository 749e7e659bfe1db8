/** The other entry instances of the deployment that can be talked to. */
import type { Peer } from './peer.js';

export abstract class PeerGroup {
  /** Every connected peer. */
  abstract peers(): readonly Peer[];

  /** Connected peers of this data centre. */
  localPeers(): readonly Peer[] {
    return this.peers().filter(peer => peer.dataCenter === this.dataCenter);
  }

  abstract readonly dataCenter: string;

  /** Sends to every peer without waiting; messages may be lost. */
  broadcast(method: string, params: unknown): void {
    for (const peer of this.peers()) peer.notify(method, params);
  }
}

/** Nobody else; for a single instance and for tests. */
export class LonePeerGroup extends PeerGroup {
  constructor(readonly dataCenter: string) {
    super();
  }

  override peers(): readonly Peer[] {
    return [];
  }
}
