/** Links to other instances, each with a task that sends heartbeats. */
import { Maybe, Right } from 'purify-ts';
import { z } from 'zod';

import type { Kernel } from '../kernel/kernel.js';
import { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import {
  instanceRecordSchema,
  instanceRecordsSchema,
} from './instance-record.js';
import type { InstanceRecord } from './instance-record.js';
import type { InstanceRegistry } from './instance-registry.js';
import { selectLinkedInstances } from './link-selection.js';

/** Interval at which the links are looked at. */
const heartbeatIntervalMs = 1_000;
/**
 * Time after the last exchange with a peer, which either side may have begun, until
 * the next one is due if there is no news of instances for the peer. With 15 links an
 * exchange each second in both directions was most of what an idle instance did.
 */
const steadyIntervalMs = 1_500;
const heartbeatTimeoutMs = 1_500;
const suspectAfterMs = 4_000;

/** JSON-RPC method by which instances send heartbeats. */
export const heartbeatMethod = 'membership.beat';

const heartbeatSchema = z.object({
  self: instanceRecordSchema,
  records: instanceRecordsSchema,
  /** Position of the receiver's registry up to which the sender has records. */
  known: z
    .object({ incarnation: z.string(), position: z.number().int() })
    .optional(),
});
type Heartbeat = z.infer<typeof heartbeatSchema>;

const heartbeatReplySchema = z.object({
  self: instanceRecordSchema,
  records: instanceRecordsSchema,
  position: z.number().int(),
});

/** Connects to an instance; for a seed address, only the address is known. */
export type ConnectPeer = (
  record: Pick<
    InstanceRecord,
    'name' | 'dataCenter' | 'incarnation' | 'address'
  >,
) => Peer & { close(): Promise<void> };

export interface PeerMeshOptions {
  readonly registry: InstanceRegistry;
  readonly connectPeer: ConnectPeer;
  /** Addresses of instances to contact while no known instance has them. */
  readonly listSeedAddresses: () => readonly string[];
  readonly log: Log;
  readonly random: () => number;
}

interface PeerLink {
  readonly peer: ReturnType<ConnectPeer>;
  readonly closeController: AbortController;
  /** Position of this registry up to which the peer has the records. */
  sentPosition: number;
  /** Position of the peer's registry up to which this one has the records. */
  receivedPosition: number;
  /**
   * Last heartbeat from the peer or reply of it, or opening of the link, in ms since
   * the Unix epoch.
   */
  lastExchangeMs: number;
  /** True while a heartbeat waits for its reply. */
  isAwaitingReply: boolean;
  /** True if the last heartbeat had no reply. */
  hasFailed: boolean;
}

/** Exchanges instance records by heartbeats and connects to peers by name. */
export class PeerMesh extends PeerGroup {
  readonly #options: PeerMeshOptions;
  readonly #links = new Map<string, PeerLink>();
  /** Connections to instances without a link, by instance name. */
  readonly #unlinkedPeers = new Map<string, ReturnType<ConnectPeer>>();
  readonly #stopping = new AbortController();

  constructor(options: PeerMeshOptions) {
    super();
    this.#options = options;
  }

  override get dataCenter(): string {
    return this.#options.registry.self.dataCenter;
  }

  override listPeers(): readonly Peer[] {
    return [...this.#links.values()].map(link => link.peer);
  }

  /**
   * Returns the connection to an instance, and opens and keeps one if there is
   * no link to it. Empty if the registry has no instance of that name.
   */
  getPeer(name: string): Maybe<Peer> {
    const link = this.#links.get(name);
    if (link !== undefined) return Maybe.of(link.peer);
    const record = this.#options.registry.findInstance(name);
    if (record === undefined) return Maybe.empty();
    const unlinkedPeer = this.#unlinkedPeers.get(name);
    if (unlinkedPeer?.incarnation === record.incarnation)
      return Maybe.of(unlinkedPeer);
    void unlinkedPeer?.close();
    const peer = this.#options.connectPeer(record);
    this.#unlinkedPeers.set(name, peer);
    return Maybe.of(peer);
  }

  /** Registers the handler of the heartbeat method with the kernel. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(heartbeatMethod, params => {
      const heartbeat = heartbeatSchema.safeParse(params);
      if (!heartbeat.success) {
        throw new Failure('invalid_request', heartbeat.error.message);
      }
      return Promise.resolve(Right(this.#handleHeartbeat(heartbeat.data)));
    });
  }

  /**
   * Opens and closes links and contacts seed addresses until `stop` is called.
   */
  async maintainUntilStopped(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      await this.#maintainLinks();
      await sleep(addJitter(heartbeatIntervalMs, this.#options.random), signal);
    }
  }

  /** Runs one round, whose failure must not end those that follow. */
  async #maintainLinks(): Promise<void> {
    try {
      this.#reconcileLinks();
      // All in one turn of the event loop, so that one wake-up serves many links.
      for (const link of this.#links.values()) this.#maintainLink(link);
      await this.#contactSeeds();
    } catch (error) {
      const reason = String(error);
      this.#options.log.writeEvent('step_failed', { step: 'links', reason });
    }
  }

  /** Sends one last heartbeat on each link, then closes all connections. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    const links = [...this.#links.values()];
    await Promise.all(links.map(link => this.#sendHeartbeat(link)));
    for (const link of links) link.closeController.abort();
    const unlinkedPeers = [...this.#unlinkedPeers.values()];
    const peers = [...links.map(link => link.peer), ...unlinkedPeers];
    await Promise.all(peers.map(peer => peer.close()));
    this.#links.clear();
    this.#unlinkedPeers.clear();
  }

  #handleHeartbeat(heartbeat: Heartbeat) {
    const { registry } = this.#options;
    registry.mergeRecords([heartbeat.self, ...heartbeat.records]);
    registry.recordHeartbeat(heartbeat.self.name, heartbeat.self.incarnation);
    const link = this.#links.get(heartbeat.self.name);
    if (link?.peer.incarnation === heartbeat.self.incarnation)
      link.lastExchangeMs = Date.now();
    const isSameProcess =
      heartbeat.known?.incarnation === registry.self.incarnation;
    const since = isSameProcess ? (heartbeat.known?.position ?? 0) : 0;
    return {
      self: registry.self,
      records: registry.listChangedSince(since),
      position: registry.position,
    };
  }

  #reconcileLinks(): void {
    const { registry } = this.#options;
    const others = registry
      .listInstances()
      .filter(record => record.name !== registry.self.name);
    const selectedInstances = new Map(
      selectLinkedInstances(registry.self, others).map(record => [
        record.name,
        record,
      ]),
    );
    for (const [name, link] of this.#links) {
      const record = selectedInstances.get(name);
      if (record?.incarnation === link.peer.incarnation) continue;
      this.#closeLink(name, link);
    }
    for (const record of selectedInstances.values()) {
      if (!this.#links.has(record.name)) this.#openLink(record);
    }
  }

  #openLink(record: InstanceRecord): void {
    const link: PeerLink = {
      peer: this.#options.connectPeer(record),
      closeController: new AbortController(),
      sentPosition: 0,
      receivedPosition: 0,
      lastExchangeMs: Date.now(),
      isAwaitingReply: false,
      hasFailed: false,
    };
    this.#links.set(record.name, link);
    this.#options.log.writeEvent('instance_joined', {
      instance: record.name,
      incarnation: record.incarnation,
    });
    void this.#exchangeRecords(link);
  }

  #closeLink(name: string, link: PeerLink): void {
    this.#links.delete(name);
    link.closeController.abort();
    void link.peer.close();
  }

  #maintainLink(link: PeerLink): void {
    if (link.isAwaitingReply) return;
    this.#suspectIfSilent(link);
    if (this.#isHeartbeatDue(link)) void this.#exchangeRecords(link);
  }

  #isHeartbeatDue(link: PeerLink): boolean {
    const { membershipPosition } = this.#options.registry;
    return (
      link.hasFailed ||
      membershipPosition > link.sentPosition ||
      Date.now() - link.lastExchangeMs >= steadyIntervalMs
    );
  }

  /** Sends a heartbeat, and a second one at once if the first has no reply. */
  async #exchangeRecords(link: PeerLink): Promise<void> {
    link.isAwaitingReply = true;
    const wasFailing = link.hasFailed;
    await this.#sendHeartbeat(link);
    const isClosed = link.closeController.signal.aborted;
    if (link.hasFailed && !wasFailing && !isClosed)
      await this.#sendHeartbeat(link);
    link.isAwaitingReply = false;
    this.#suspectIfSilent(link);
  }

  async #sendHeartbeat(link: PeerLink): Promise<void> {
    const { registry } = this.#options;
    const position = registry.position;
    const heartbeat: Heartbeat = {
      self: registry.self,
      records: registry
        .listChangedSince(link.sentPosition)
        .filter(record => record.name !== registry.self.name),
      known: {
        incarnation: link.peer.incarnation,
        position: link.receivedPosition,
      },
    };
    const result = await link.peer.callMethod(heartbeatMethod, heartbeat, {
      timeoutMs: heartbeatTimeoutMs,
    });
    const reply = result
      .toMaybe()
      .chainNullable(value => heartbeatReplySchema.safeParse(value).data);
    link.hasFailed = reply.isNothing();
    reply.ifJust(({ self, records, position: peerPosition }) => {
      link.sentPosition = position;
      link.receivedPosition = peerPosition;
      link.lastExchangeMs = Date.now();
      registry.mergeRecords([self, ...records]);
      registry.recordHeartbeat(self.name, self.incarnation);
    });
  }

  #suspectIfSilent(link: PeerLink): void {
    if (!link.hasFailed || Date.now() - link.lastExchangeMs < suspectAfterMs)
      return;
    const { registry, log } = this.#options;
    const instance = registry.findInstance(link.peer.name);
    if (instance === undefined || instance.state === 'suspected') return;
    registry.markSuspected(link.peer.name);
    log.writeEvent('instance_suspected', { instance: link.peer.name });
  }

  /** Sends a heartbeat to seed addresses that no known instance has. */
  async #contactSeeds(): Promise<void> {
    const { registry, listSeedAddresses } = this.#options;
    const knownAddresses = new Set(
      registry.listInstances().map(record => record.address),
    );
    const unknownAddresses = listSeedAddresses().filter(
      address => !knownAddresses.has(address),
    );
    await Promise.all(
      unknownAddresses.map(address => this.#contactAddress(address)),
    );
  }

  async #contactAddress(address: string): Promise<void> {
    const { registry, connectPeer } = this.#options;
    const seed = { name: address, dataCenter: '', incarnation: '', address };
    const peer = connectPeer(seed);
    const heartbeat: Heartbeat = { self: registry.self, records: [] };
    const result = await peer.callMethod(heartbeatMethod, heartbeat, {
      timeoutMs: heartbeatTimeoutMs,
    });
    result.ifRight(value => {
      const reply = heartbeatReplySchema.safeParse(value);
      if (reply.success)
        registry.mergeRecords([reply.data.self, ...reply.data.records]);
    });
    await peer.close();
  }
}
