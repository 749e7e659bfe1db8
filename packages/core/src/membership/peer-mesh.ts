/** Links to other instances and the heartbeats on them, one task each. */
import { Maybe, Right } from 'purify-ts';
import { z } from 'zod';

import type { Kernel } from '../kernel/kernel.js';
import { PeerGroup } from '../peers/peer-group.js';
import type { Peer } from '../peers/peer.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { jittered, sleep } from '../shared/time.js';

import { instanceRecordSchema } from './instance-record.js';
import type { InstanceRecord } from './instance-record.js';
import type { InstanceRegistry } from './instance-registry.js';
import { chooseLinks } from './link-selection.js';

const heartbeatMs = 1_000;
const heartbeatTimeoutMs = 1_500;
const suspectAfterMs = 4_000;

/** Method of a heartbeat between instances. */
export const beatMethod = 'membership.beat';

const beatSchema = z.object({
  self: instanceRecordSchema,
  records: z.array(instanceRecordSchema),
  /** What the sender holds of the receiver's registry. */
  known: z
    .object({ incarnation: z.string(), position: z.number().int() })
    .optional(),
});
type Beat = z.infer<typeof beatSchema>;

const beatReplySchema = z.object({
  self: instanceRecordSchema,
  records: z.array(instanceRecordSchema),
  position: z.number().int(),
});

/** Opens a connection to an instance; the address may be all that is known. */
export type PeerConnect = (
  record: Pick<
    InstanceRecord,
    'name' | 'dataCenter' | 'incarnation' | 'address'
  >,
) => Peer & { close(): Promise<void> };

export interface PeerMeshOptions {
  readonly registry: InstanceRegistry;
  readonly connect: PeerConnect;
  /** Addresses to try when an instance there is not known yet. */
  readonly contacts: () => readonly string[];
  readonly log: Log;
  readonly random: () => number;
}

interface Link {
  readonly peer: ReturnType<PeerConnect>;
  readonly closing: AbortController;
  /** Own registry position that the peer has. */
  sent: number;
  /** The peer's registry position that is held here. */
  received: number;
  lastReplyMs: number;
}

export class PeerMesh extends PeerGroup {
  readonly #options: PeerMeshOptions;
  readonly #links = new Map<string, Link>();
  /** Connections to instances that are not linked, by name. */
  readonly #reached = new Map<string, ReturnType<PeerConnect>>();
  readonly #stopping = new AbortController();

  constructor(options: PeerMeshOptions) {
    super();
    this.#options = options;
  }

  override get dataCenter(): string {
    return this.#options.registry.self.dataCenter;
  }

  override peers(): readonly Peer[] {
    return [...this.#links.values()].map(link => link.peer);
  }

  /** A connection to the named instance, kept when there is no link. */
  peerTo(name: string): Maybe<Peer> {
    const link = this.#links.get(name);
    if (link !== undefined) return Maybe.of(link.peer);
    const record = this.#options.registry.find(name);
    if (record === undefined) return Maybe.empty();
    const reached = this.#reached.get(name);
    if (reached?.incarnation === record.incarnation) return Maybe.of(reached);
    void reached?.close();
    const peer = this.#options.connect(record);
    this.#reached.set(name, peer);
    return Maybe.of(peer);
  }

  /** Registers the heartbeat method. */
  register(kernel: Kernel): void {
    kernel.method(beatMethod, params => {
      const beat = beatSchema.safeParse(params);
      if (!beat.success) {
        throw new Failure('invalid_request', beat.error.message);
      }
      return Promise.resolve(Right(this.#answer(beat.data)));
    });
  }

  /** Keeps links and contacts up until stopped. */
  async run(): Promise<void> {
    const { signal } = this.#stopping;
    while (!signal.aborted) {
      this.#reconcile();
      await this.#tryContacts();
      await sleep(jittered(heartbeatMs, this.#options.random), signal);
    }
  }

  /** Sends one last heartbeat on each link, then closes all. */
  async stop(): Promise<void> {
    this.#stopping.abort();
    const links = [...this.#links.values()];
    await Promise.all(links.map(link => this.#beat(link)));
    for (const link of links) link.closing.abort();
    const reached = [...this.#reached.values()];
    const peers = [...links.map(link => link.peer), ...reached];
    await Promise.all(peers.map(peer => peer.close()));
    this.#links.clear();
    this.#reached.clear();
  }

  #answer(beat: Beat) {
    const { registry } = this.#options;
    registry.merge([beat.self, ...beat.records]);
    registry.seen(beat.self.name, beat.self.incarnation);
    const sameProcess = beat.known?.incarnation === registry.self.incarnation;
    const since = sameProcess ? (beat.known?.position ?? 0) : 0;
    return {
      self: registry.self,
      records: registry.changedSince(since),
      position: registry.position,
    };
  }

  #reconcile(): void {
    const { registry } = this.#options;
    const others = registry
      .all()
      .filter(record => record.name !== registry.self.name);
    const wanted = new Map(
      chooseLinks(registry.self, others).map(record => [record.name, record]),
    );
    for (const [name, link] of this.#links) {
      const record = wanted.get(name);
      if (record?.incarnation === link.peer.incarnation) continue;
      this.#close(name, link);
    }
    for (const record of wanted.values()) {
      if (!this.#links.has(record.name)) this.#open(record);
    }
  }

  #open(record: InstanceRecord): void {
    const link: Link = {
      peer: this.#options.connect(record),
      closing: new AbortController(),
      sent: 0,
      received: 0,
      lastReplyMs: Date.now(),
    };
    this.#links.set(record.name, link);
    this.#options.log.event('instance_joined', {
      instance: record.name,
      incarnation: record.incarnation,
    });
    void this.#keepBeating(link);
  }

  #close(name: string, link: Link): void {
    this.#links.delete(name);
    link.closing.abort();
    void link.peer.close();
  }

  async #keepBeating(link: Link): Promise<void> {
    const { signal } = link.closing;
    while (!signal.aborted) {
      await this.#beat(link);
      this.#judge(link);
      await sleep(jittered(heartbeatMs, this.#options.random), signal);
    }
  }

  async #beat(link: Link): Promise<void> {
    const { registry } = this.#options;
    const position = registry.position;
    const beat: Beat = {
      self: registry.self,
      records: registry
        .changedSince(link.sent)
        .filter(record => record.name !== registry.self.name),
      known: { incarnation: link.peer.incarnation, position: link.received },
    };
    const outcome = await link.peer.call(beatMethod, beat, {
      timeoutMs: heartbeatTimeoutMs,
    });
    const reply = outcome.toMaybe().map(value => beatReplySchema.parse(value));
    reply.ifJust(({ self, records, position: theirs }) => {
      link.sent = position;
      link.received = theirs;
      link.lastReplyMs = Date.now();
      registry.merge([self, ...records]);
      registry.seen(self.name, self.incarnation);
    });
  }

  #judge(link: Link): void {
    if (Date.now() - link.lastReplyMs < suspectAfterMs) return;
    const { registry, log } = this.#options;
    const view = registry.find(link.peer.name);
    if (view === undefined || view.state === 'suspected') return;
    registry.suspect(link.peer.name);
    log.event('instance_suspected', { instance: link.peer.name });
  }

  /** Greets addresses at which no known instance listens. */
  async #tryContacts(): Promise<void> {
    const { registry, contacts } = this.#options;
    const held = new Set(registry.all().map(record => record.address));
    const unknown = contacts().filter(address => !held.has(address));
    await Promise.all(unknown.map(address => this.#greet(address)));
  }

  async #greet(address: string): Promise<void> {
    const { registry, connect } = this.#options;
    const nobody = { name: address, dataCenter: '', incarnation: '', address };
    const peer = connect(nobody);
    const beat: Beat = { self: registry.self, records: [] };
    const outcome = await peer.call(beatMethod, beat, {
      timeoutMs: heartbeatTimeoutMs,
    });
    outcome.ifRight(value => {
      const reply = beatReplySchema.safeParse(value);
      if (reply.success)
        registry.merge([reply.data.self, ...reply.data.records]);
    });
    await peer.close();
  }
}
