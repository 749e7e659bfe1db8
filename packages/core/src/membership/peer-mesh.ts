/** Links to other instances and the heartbeats on them, one task each. */
import { Maybe, Right } from 'purify-ts';
import { z } from 'zod';

import type { Kernel } from '../kernel/kernel.js';
import { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { addJitter, sleep } from '../shared/time.js';

import { instanceRecordSchema } from './instance-record.js';
import type { InstanceRecord } from './instance-record.js';
import type { InstanceRegistry } from './instance-registry.js';
import { selectLinkedInstances } from './link-selection.js';

const heartbeatIntervalMs = 1_000;
const heartbeatTimeoutMs = 1_500;
const suspectAfterMs = 4_000;

/** Method of a heartbeat between instances. */
export const heartbeatMethod = 'membership.beat';

const heartbeatSchema = z.object({
  self: instanceRecordSchema,
  records: z.array(instanceRecordSchema),
  /** What the sender holds of the receiver's registry. */
  known: z
    .object({ incarnation: z.string(), position: z.number().int() })
    .optional(),
});
type Heartbeat = z.infer<typeof heartbeatSchema>;

const heartbeatReplySchema = z.object({
  self: instanceRecordSchema,
  records: z.array(instanceRecordSchema),
  position: z.number().int(),
});

/** Opens a connection to an instance; the address may be all that is known. */
export type ConnectPeer = (
  record: Pick<
    InstanceRecord,
    'name' | 'dataCenter' | 'incarnation' | 'address'
  >,
) => Peer & { close(): Promise<void> };

export interface PeerMeshOptions {
  readonly registry: InstanceRegistry;
  readonly connectPeer: ConnectPeer;
  /** Addresses to try when an instance there is not known yet. */
  readonly listSeedAddresses: () => readonly string[];
  readonly log: Log;
  readonly random: () => number;
}

interface PeerLink {
  readonly peer: ReturnType<ConnectPeer>;
  readonly closeController: AbortController;
  /** Own registry position that the peer has. */
  sentPosition: number;
  /** The peer's registry position that is held here. */
  receivedPosition: number;
  lastReplyMs: number;
}

export class PeerMesh extends PeerGroup {
  readonly #options: PeerMeshOptions;
  readonly #links = new Map<string, PeerLink>();
  /** Connections to instances that are not linked, by name. */
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

  /** A connection to the named instance, kept when there is no link. */
  getPeer(name: string): Maybe<Peer> {
    const link = this.#links.get(name);
    if (link !== undefined) return Maybe.of(link.peer);
    const record = this.#options.registry.findInstance(name);
    if (record === undefined) return Maybe.empty();
    const reached = this.#unlinkedPeers.get(name);
    if (reached?.incarnation === record.incarnation) return Maybe.of(reached);
    void reached?.close();
    const peer = this.#options.connectPeer(record);
    this.#unlinkedPeers.set(name, peer);
    return Maybe.of(peer);
  }

  /** Registers the heartbeat method. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(heartbeatMethod, params => {
      const beat = heartbeatSchema.safeParse(params);
      if (!beat.success) {
        throw new Failure('invalid_request', beat.error.message);
      }
      return Promise.resolve(Right(this.#handleHeartbeat(beat.data)));
    });
  }

  /** Keeps links and contacts up until stopped. */
  async maintainUntilStopped(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      this.#reconcileLinks();
      await this.#contactSeeds();
      await sleep(addJitter(heartbeatIntervalMs, this.#options.random), signal);
    }
  }

  /** Sends one last heartbeat on each link, then closes all. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    const links = [...this.#links.values()];
    await Promise.all(links.map(link => this.#sendHeartbeat(link)));
    for (const link of links) link.closeController.abort();
    const reached = [...this.#unlinkedPeers.values()];
    const peers = [...links.map(link => link.peer), ...reached];
    await Promise.all(peers.map(peer => peer.close()));
    this.#links.clear();
    this.#unlinkedPeers.clear();
  }

  #handleHeartbeat(beat: Heartbeat) {
    const { registry } = this.#options;
    registry.mergeRecords([beat.self, ...beat.records]);
    registry.recordHeartbeat(beat.self.name, beat.self.incarnation);
    const sameProcess = beat.known?.incarnation === registry.self.incarnation;
    const since = sameProcess ? (beat.known?.position ?? 0) : 0;
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
    const wanted = new Map(
      selectLinkedInstances(registry.self, others).map(record => [
        record.name,
        record,
      ]),
    );
    for (const [name, link] of this.#links) {
      const record = wanted.get(name);
      if (record?.incarnation === link.peer.incarnation) continue;
      this.#closeLink(name, link);
    }
    for (const record of wanted.values()) {
      if (!this.#links.has(record.name)) this.#openLink(record);
    }
  }

  #openLink(record: InstanceRecord): void {
    const link: PeerLink = {
      peer: this.#options.connectPeer(record),
      closeController: new AbortController(),
      sentPosition: 0,
      receivedPosition: 0,
      lastReplyMs: Date.now(),
    };
    this.#links.set(record.name, link);
    this.#options.log.writeEvent('instance_joined', {
      instance: record.name,
      incarnation: record.incarnation,
    });
    void this.#sendHeartbeats(link);
  }

  #closeLink(name: string, link: PeerLink): void {
    this.#links.delete(name);
    link.closeController.abort();
    void link.peer.close();
  }

  async #sendHeartbeats(link: PeerLink): Promise<void> {
    const { signal } = link.closeController;
    while (!signal.aborted) {
      await this.#sendHeartbeat(link);
      this.#suspectIfSilent(link);
      await sleep(addJitter(heartbeatIntervalMs, this.#options.random), signal);
    }
  }

  async #sendHeartbeat(link: PeerLink): Promise<void> {
    const { registry } = this.#options;
    const position = registry.position;
    const beat: Heartbeat = {
      self: registry.self,
      records: registry
        .listChangedSince(link.sentPosition)
        .filter(record => record.name !== registry.self.name),
      known: {
        incarnation: link.peer.incarnation,
        position: link.receivedPosition,
      },
    };
    const outcome = await link.peer.callMethod(heartbeatMethod, beat, {
      timeoutMs: heartbeatTimeoutMs,
    });
    const reply = outcome
      .toMaybe()
      .map(value => heartbeatReplySchema.parse(value));
    reply.ifJust(({ self, records, position: theirs }) => {
      link.sentPosition = position;
      link.receivedPosition = theirs;
      link.lastReplyMs = Date.now();
      registry.mergeRecords([self, ...records]);
      registry.recordHeartbeat(self.name, self.incarnation);
    });
  }

  #suspectIfSilent(link: PeerLink): void {
    if (Date.now() - link.lastReplyMs < suspectAfterMs) return;
    const { registry, log } = this.#options;
    const view = registry.findInstance(link.peer.name);
    if (view === undefined || view.state === 'suspected') return;
    registry.markSuspected(link.peer.name);
    log.writeEvent('instance_suspected', { instance: link.peer.name });
  }

  /** Greets addresses at which no known instance listens. */
  async #contactSeeds(): Promise<void> {
    const { registry, listSeedAddresses: contacts } = this.#options;
    const held = new Set(
      registry.listInstances().map(record => record.address),
    );
    const unknown = contacts().filter(address => !held.has(address));
    await Promise.all(unknown.map(address => this.#contactAddress(address)));
  }

  async #contactAddress(address: string): Promise<void> {
    const { registry, connectPeer: connect } = this.#options;
    const nobody = { name: address, dataCenter: '', incarnation: '', address };
    const peer = connect(nobody);
    const beat: Heartbeat = { self: registry.self, records: [] };
    const outcome = await peer.callMethod(heartbeatMethod, beat, {
      timeoutMs: heartbeatTimeoutMs,
    });
    outcome.ifRight(value => {
      const reply = heartbeatReplySchema.safeParse(value);
      if (reply.success)
        registry.mergeRecords([reply.data.self, ...reply.data.records]);
    });
    await peer.close();
  }
}
