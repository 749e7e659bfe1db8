/** The other entry instances of the deployment that can be talked to. */
import type { Peer } from './peer.js';

export abstract class PeerGroup {
  /** Every connected peer. */
  abstract listPeers(): readonly Peer[];

  /** Connected peers of this data centre. */
  listLocalPeers(): readonly Peer[] {
    return this.listPeers().filter(peer => peer.dataCenter === this.dataCenter);
  }

  abstract readonly dataCenter: string;

  /** Sends to every peer without waiting; messages may be lost. */
  broadcast(method: string, params: unknown): void {
    for (const peer of this.listPeers()) peer.sendNotification(method, params);
  }
}

/** Nobody else; for a single instance and for tests. */
export class EmptyPeerGroup extends PeerGroup {
  constructor(readonly dataCenter: string) {
    super();
  }

  override listPeers(): readonly Peer[] {
    return [];
  }
}
