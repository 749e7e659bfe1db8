/** Whom an instance tells its news, and through whom it hears of the others. */
import { defaultLinkSelection } from '@medlarlever/core';
import type { InstanceRegistry, Peer, PeerMesh } from '@medlarlever/core';

import { AggregatorSelector } from './aggregator-selector.js';

/** How news get from one instance to the others. */
export abstract class PeerTopology {
  /**
   * True when the deployment is too large for everyone to tell everyone: then
   * one instance of each data centre, its hub, gathers the news and sums them.
   */
  abstract readonly isLarge: boolean;
  /** The hub of this data centre; this instance itself at the hub. */
  abstract getAggregator(): string;
  /** Notes that news came from the instance. */
  abstract recordReceivedFrom(name: string): void;
  /** Notes that the hub was told something, and ought to answer. */
  abstract recordSentToAggregator(name: string): void;
  /** Tells every linked instance; messages may be lost. */
  abstract notifyLinked(method: string, params: unknown): void;
  /** Tells one instance; the message may be lost. */
  abstract notifyInstance(name: string, method: string, params: unknown): void;
  /** Tells every known instance. */
  abstract notifyAll(method: string, params: unknown): void;
  /** Instances of each other data centre that may be its hub. */
  abstract listRemoteAggregators(): readonly string[];
}

/** Of each other data centre the first ones are told, as any may be away. */
const remoteAggregatorCandidates = 2;

/** Links while the deployment is small, hubs beyond that. */
export class PeerMeshTopology extends PeerTopology {
  readonly #aggregatorSelector = new AggregatorSelector();

  constructor(
    private readonly registry: InstanceRegistry,
    private readonly getMesh: () => PeerMesh,
  ) {
    super();
  }

  override get isLarge(): boolean {
    return (
      this.registry.listInstances().length >
      defaultLinkSelection.maxFullMeshInstances
    );
  }

  override getAggregator(): string {
    const { name, dataCenter } = this.registry.self;
    return (
      this.#aggregatorSelector.selectAggregator(
        this.#listCandidates(dataCenter),
      ) ?? name
    );
  }

  override recordReceivedFrom(name: string): void {
    this.#aggregatorSelector.recordReceived(name);
  }

  override recordSentToAggregator(name: string): void {
    this.#aggregatorSelector.recordSent(name);
  }

  override notifyLinked(method: string, params: unknown): void {
    this.getMesh().broadcast(method, params);
  }

  override notifyInstance(name: string, method: string, params: unknown): void {
    this.getMesh()
      .getPeer(name)
      .ifJust((peer: Peer) => {
        peer.sendNotification(method, params);
      });
  }

  override notifyAll(method: string, params: unknown): void {
    if (!this.isLarge) {
      this.notifyLinked(method, params);
      return;
    }
    for (const { name } of this.registry.listInstances()) {
      if (name !== this.registry.self.name)
        this.notifyInstance(name, method, params);
    }
  }

  override listRemoteAggregators(): readonly string[] {
    const own = this.registry.self.dataCenter;
    const all = this.registry
      .listInstances()
      .map(({ dataCenter }) => dataCenter);
    return [...new Set(all)]
      .filter(dataCenter => dataCenter !== own)
      .flatMap(dataCenter =>
        this.#listCandidates(dataCenter).slice(0, remoteAggregatorCandidates),
      );
  }

  /** Instances of the data centre that may gather, by name. */
  #listCandidates(dataCenter: string): string[] {
    return this.registry
      .listInstances()
      .filter(record => record.dataCenter === dataCenter)
      .filter(({ state }) => state === 'live')
      .map(({ name }) => name)
      .sort();
  }
}
