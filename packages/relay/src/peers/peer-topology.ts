/** Determines which peers an instance exchanges reports with. */
import { defaultLinkSelection } from '@medlarlever/core';
import type { InstanceRegistry, Peer, PeerMesh } from '@medlarlever/core';

import { AggregatorSelector } from './aggregator-selector.js';

/** Sends notifications to peers, directly or through aggregators. */
export abstract class PeerTopology {
  /**
   * True if the deployment is too large for every instance to report to every
   * other one. Then one instance of each data centre, the aggregator, collects
   * and sums the reports.
   */
  abstract readonly usesAggregators: boolean;
  /** Returns the name of this data centre's aggregator, possibly this instance. */
  abstract getAggregator(): string;
  /** Records that a report came from the instance. */
  abstract recordReportFrom(name: string): void;
  /** Records that a report was sent to the aggregator, which should answer. */
  abstract recordReportToAggregator(name: string): void;
  /** Notifies every directly linked instance; messages may be lost. */
  abstract notifyLinked(method: string, params: unknown): void;
  /** Notifies one instance; the message may be lost. */
  abstract notifyInstance(name: string, method: string, params: unknown): void;
  /** Notifies every known instance; messages may be lost. */
  abstract notifyAll(method: string, params: unknown): void;
  /** Lists the aggregator candidates of each other data centre. */
  abstract listRemoteAggregators(): readonly string[];
}

/**
 * Number of aggregator candidates notified in each other data centre, because any
 * one of them may be unreachable.
 */
const remoteAggregatorCandidateCount = 2;

/**
 * Topology on the peer mesh: direct links in small deployments, aggregators in
 * large ones.
 */
export class PeerMeshTopology extends PeerTopology {
  readonly #aggregatorSelector = new AggregatorSelector();

  constructor(
    private readonly registry: InstanceRegistry,
    private readonly getMesh: () => PeerMesh,
  ) {
    super();
  }

  override get usesAggregators(): boolean {
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

  override recordReportFrom(name: string): void {
    this.#aggregatorSelector.recordReceived(name);
  }

  override recordReportToAggregator(name: string): void {
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
    if (!this.usesAggregators) {
      this.notifyLinked(method, params);
      return;
    }
    for (const { name } of this.registry.listInstances()) {
      if (name !== this.registry.self.name)
        this.notifyInstance(name, method, params);
    }
  }

  override listRemoteAggregators(): readonly string[] {
    const ownDataCenter = this.registry.self.dataCenter;
    const dataCenters = this.registry
      .listInstances()
      .map(({ dataCenter }) => dataCenter);
    return [...new Set(dataCenters)]
      .filter(dataCenter => dataCenter !== ownDataCenter)
      .flatMap(dataCenter =>
        this.#listCandidates(dataCenter).slice(
          0,
          remoteAggregatorCandidateCount,
        ),
      );
  }

  /** Lists the data centre's live instances, sorted by name. */
  #listCandidates(dataCenter: string): string[] {
    return this.registry
      .listInstances()
      .filter(record => record.dataCenter === dataCenter)
      .filter(({ state }) => state === 'live')
      .map(({ name }) => name)
      .sort();
  }
}
