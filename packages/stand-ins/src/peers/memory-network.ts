/** Peers that call each other in memory, with links that tests cut. */
import { Failure, Peer, PeerGroup } from '@medlarlever/core';
import type { PeerCallOptions, PeerMethodHandler } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Who a peer is, as its record says. */
export interface PeerIdentity {
  readonly name: string;
  readonly dataCenter: string;
  readonly incarnation: string;
  readonly address: string;
}

type Methods = ReadonlyMap<string, PeerMethodHandler>;

const unreachable = () =>
  new Failure('target_failed', 'the peer did not answer', {
    executed: 'unknown',
  });

export class MemoryNetwork {
  readonly #nodes = new Map<string, Methods>();
  /** `from>to` addresses over which nothing gets through. */
  readonly #cuts = new Set<string>();
  /** Addresses that nothing reaches and that reach nothing. */
  readonly #cutOff = new Set<string>();
  /** Bytes of message bodies by the sender's address, answers included. */
  readonly sentBytes = new Map<string, number>();

  attach(address: string, methods: Methods): void {
    this.#nodes.set(address, methods);
  }

  detach(address: string): void {
    this.#nodes.delete(address);
  }

  /** Loses everything sent from one address to the other. */
  cut(from: string, to: string): void {
    this.#cuts.add(`${from}>${to}`);
  }

  /** Loses everything to and from the address. */
  cutOff(address: string): void {
    this.#cutOff.add(address);
  }

  heal(): void {
    this.#cuts.clear();
    this.#cutOff.clear();
  }

  /** Attached addresses that one at `from` gets through to, without itself. */
  reachableFrom(from: string): string[] {
    return [...this.#nodes.keys()].filter(
      address => address !== from && !this.#isCut(from, address),
    );
  }

  /** A connection from `from` to the peer. */
  connect(from: PeerIdentity, to: PeerIdentity): MemoryPeer {
    return new MemoryPeer(this, from, to);
  }

  /** Delivers a call; a lost request or answer is a failure. */
  async deliver(
    from: PeerIdentity,
    to: string,
    method: string,
    params: unknown,
  ): Promise<Either<Failure, unknown>> {
    const request = JSON.stringify({ method, params });
    this.#count(from.address, request);
    const handler = this.#nodes.get(to)?.get(method);
    const lost = this.#isCut(from.address, to);
    if (lost || handler === undefined) return Left(unreachable());
    const { params: received } = JSON.parse(request) as { params?: unknown };
    const outcome = await handler(received, from.name);
    if (this.#isCut(to, from.address)) return Left(unreachable());
    if (outcome.isLeft()) return outcome;
    const answer = JSON.stringify(outcome.extract() ?? null);
    this.#count(to, answer);
    return Right(JSON.parse(answer) as unknown);
  }

  #isCut(from: string, to: string): boolean {
    if (this.#cutOff.has(from) || this.#cutOff.has(to)) return true;
    return this.#cuts.has(`${from}>${to}`);
  }

  #count(address: string, message: string): void {
    const sent = this.sentBytes.get(address) ?? 0;
    this.sentBytes.set(address, sent + message.length);
  }
}

export class MemoryPeer extends Peer {
  readonly name: string;
  readonly dataCenter: string;
  readonly incarnation: string;

  constructor(
    private readonly network: MemoryNetwork,
    private readonly from: PeerIdentity,
    private readonly to: PeerIdentity,
  ) {
    super();
    this.name = to.name;
    this.dataCenter = to.dataCenter;
    this.incarnation = to.incarnation;
  }

  override async callMethod(
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<Either<Failure, unknown>> {
    const { network, from, to } = this;
    const outcome = await network.deliver(from, to.address, method, params);
    if (outcome.isRight()) return outcome;
    await new Promise(resolve => setTimeout(resolve, options.timeoutMs));
    return outcome;
  }

  override sendNotification(method: string, params: unknown): void {
    void this.network.deliver(this.from, this.to.address, method, params);
  }

  close(): Promise<void> {
    return Promise.resolve();
  }
}

/** Everyone attached to the network whom one node gets through to. */
export class MemoryPeerGroup extends PeerGroup {
  constructor(
    private readonly network: MemoryNetwork,
    private readonly address: string,
    readonly dataCenter = 'dc-1',
  ) {
    super();
  }

  override listPeers(): readonly MemoryPeer[] {
    const { network, dataCenter } = this;
    const self = identityOf(this.address, dataCenter);
    return network
      .reachableFrom(this.address)
      .map(address => network.connect(self, identityOf(address, dataCenter)));
  }
}

/** A peer that is named by its address. */
const identityOf = (address: string, dataCenter: string): PeerIdentity => ({
  name: address,
  dataCenter,
  incarnation: `${address}#1`,
  address,
});
