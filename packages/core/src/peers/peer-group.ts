/** The other entry instances to which this instance is connected. */
import type { Peer } from './peer.js';

/** Lists the connected peers and broadcasts notifications to them. */
export abstract class PeerGroup {
  /** All connected peers. */
  abstract listPeers(): readonly Peer[];

  /** Connected peers in this instance's data centre. */
  listLocalPeers(): readonly Peer[] {
    return this.listPeers().filter(peer => peer.dataCenter === this.dataCenter);
  }

  /** Data centre of this instance. */
  abstract readonly dataCenter: string;

  /** Sends a notification to all peers without waiting; it may be lost. */
  broadcast(method: string, params: unknown): void {
    for (const peer of this.listPeers()) peer.sendNotification(method, params);
  }
}

/** A group without peers, for a single instance and for tests. */
export class EmptyPeerGroup extends PeerGroup {
  constructor(readonly dataCenter: string) {
    super();
  }

  override listPeers(): readonly Peer[] {
    return [];
  }
}
