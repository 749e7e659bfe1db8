/** Whom an instance tells its news, and through whom it hears of the others. */
import { defaultLinkChoice } from '@medlarlever/core';
import type { InstanceRegistry, Peer, PeerMesh } from '@medlarlever/core';

import { HubChoice } from './aggregator-selector.js';

/** How news get from one instance to the others. */
export abstract class NewsTopology {
  /**
   * True when the deployment is too large for everyone to tell everyone: then
   * one instance of each data centre, its hub, gathers the news and sums them.
   */
  abstract readonly large: boolean;
  /** The hub of this data centre; this instance itself at the hub. */
  abstract hub(): string;
  /** Notes that news came from the instance. */
  abstract heardFrom(name: string): void;
  /** Notes that the hub was told something, and ought to answer. */
  abstract toldHub(name: string): void;
  /** Tells every linked instance; messages may be lost. */
  abstract broadcast(method: string, params: unknown): void;
  /** Tells one instance; the message may be lost. */
  abstract tell(name: string, method: string, params: unknown): void;
  /** Tells every known instance. */
  abstract spread(method: string, params: unknown): void;
  /** Instances of each other data centre that may be its hub. */
  abstract otherHubs(): readonly string[];
}

/** Of each other data centre the first ones are told, as any may be away. */
const hubCandidates = 2;

/** Links while the deployment is small, hubs beyond that. */
export class MeshTopology extends NewsTopology {
  readonly #choice = new HubChoice();

  constructor(
    private readonly registry: InstanceRegistry,
    private readonly mesh: () => PeerMesh,
  ) {
    super();
  }

  override get large(): boolean {
    return this.registry.all().length > defaultLinkChoice.fullMeshLimit;
  }

  override hub(): string {
    const { name, dataCenter } = this.registry.self;
    return this.#choice.choose(this.#candidates(dataCenter)) ?? name;
  }

  override heardFrom(name: string): void {
    this.#choice.heard(name);
  }

  override toldHub(name: string): void {
    this.#choice.told(name);
  }

  override broadcast(method: string, params: unknown): void {
    this.mesh().broadcast(method, params);
  }

  override tell(name: string, method: string, params: unknown): void {
    this.mesh()
      .peerTo(name)
      .ifJust((peer: Peer) => {
        peer.notify(method, params);
      });
  }

  override spread(method: string, params: unknown): void {
    if (!this.large) {
      this.broadcast(method, params);
      return;
    }
    for (const { name } of this.registry.all()) {
      if (name !== this.registry.self.name) this.tell(name, method, params);
    }
  }

  override otherHubs(): readonly string[] {
    const own = this.registry.self.dataCenter;
    const all = this.registry.all().map(({ dataCenter }) => dataCenter);
    return [...new Set(all)]
      .filter(dataCenter => dataCenter !== own)
      .flatMap(dataCenter =>
        this.#candidates(dataCenter).slice(0, hubCandidates),
      );
  }

  /** Instances of the data centre that may gather, by name. */
  #candidates(dataCenter: string): string[] {
    return this.registry
      .all()
      .filter(record => record.dataCenter === dataCenter)
      .filter(({ state }) => state === 'live')
      .map(({ name }) => name)
      .sort();
  }
}
