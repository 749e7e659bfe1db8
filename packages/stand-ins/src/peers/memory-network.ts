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

type HandlersByMethod = ReadonlyMap<string, PeerMethodHandler>;

const createUnreachableFailure = () =>
  new Failure('target_failed', 'the peer did not answer', {
    executed: 'unknown',
  });

export class MemoryNetwork {
  readonly #handlersByAddress = new Map<string, HandlersByMethod>();
  /** `from>to` addresses over which nothing gets through. */
  readonly #cutLinks = new Set<string>();
  /** Addresses that nothing reaches and that reach nothing. */
  readonly #isolatedAddresses = new Set<string>();
  /** Bytes of message bodies by the sender's address, answers included. */
  readonly sentBytesByAddress = new Map<string, number>();

  attachPeer(address: string, methods: HandlersByMethod): void {
    this.#handlersByAddress.set(address, methods);
  }

  detachPeer(address: string): void {
    this.#handlersByAddress.delete(address);
  }

  /** Loses everything sent from one address to the other. */
  cutLink(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`);
  }

  /** Loses everything to and from the address. */
  isolatePeer(address: string): void {
    this.#isolatedAddresses.add(address);
  }

  restoreLinks(): void {
    this.#cutLinks.clear();
    this.#isolatedAddresses.clear();
  }

  /** Attached addresses that one at `from` gets through to, without itself. */
  listReachableAddresses(from: string): string[] {
    return [...this.#handlersByAddress.keys()].filter(
      address => address !== from && !this.#isLinkCut(from, address),
    );
  }

  /** A connection from `from` to the peer. */
  connectPeer(from: PeerIdentity, to: PeerIdentity): MemoryPeer {
    return new MemoryPeer(this, from, to);
  }

  /** Delivers a call; a lost request or answer is a failure. */
  async deliverCall(
    from: PeerIdentity,
    to: string,
    method: string,
    params: unknown,
  ): Promise<Either<Failure, unknown>> {
    const request = JSON.stringify({ method, params });
    this.#countSentBytes(from.address, request);
    const handler = this.#handlersByAddress.get(to)?.get(method);
    const lost = this.#isLinkCut(from.address, to);
    if (lost || handler === undefined) return Left(createUnreachableFailure());
    const { params: received } = JSON.parse(request) as { params?: unknown };
    const outcome = await handler(received, from.name);
    if (this.#isLinkCut(to, from.address))
      return Left(createUnreachableFailure());
    if (outcome.isLeft()) return outcome;
    const answer = JSON.stringify(outcome.extract() ?? null);
    this.#countSentBytes(to, answer);
    return Right(JSON.parse(answer) as unknown);
  }

  #isLinkCut(from: string, to: string): boolean {
    if (this.#isolatedAddresses.has(from) || this.#isolatedAddresses.has(to))
      return true;
    return this.#cutLinks.has(`${from}>${to}`);
  }

  #countSentBytes(address: string, message: string): void {
    const sent = this.sentBytesByAddress.get(address) ?? 0;
    this.sentBytesByAddress.set(address, sent + message.length);
  }
}

export class MemoryPeer extends Peer {
  readonly name: string;
  readonly dataCenter: string;
  readonly incarnation: string;

  constructor(
    private readonly network: MemoryNetwork,
    private readonly localIdentity: PeerIdentity,
    private readonly remoteIdentity: PeerIdentity,
  ) {
    super();
    this.name = remoteIdentity.name;
    this.dataCenter = remoteIdentity.dataCenter;
    this.incarnation = remoteIdentity.incarnation;
  }

  override async callMethod(
    method: string,
    params: unknown,
    options: PeerCallOptions,
  ): Promise<Either<Failure, unknown>> {
    const { network, localIdentity: from, remoteIdentity: to } = this;
    const outcome = await network.deliverCall(from, to.address, method, params);
    if (outcome.isRight()) return outcome;
    await new Promise(resolve => setTimeout(resolve, options.timeoutMs));
    return outcome;
  }

  override sendNotification(method: string, params: unknown): void {
    void this.network.deliverCall(
      this.localIdentity,
      this.remoteIdentity.address,
      method,
      params,
    );
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
    const self = createIdentity(this.address, dataCenter);
    return network
      .listReachableAddresses(this.address)
      .map(address =>
        network.connectPeer(self, createIdentity(address, dataCenter)),
      );
  }
}

/** A peer that is named by its address. */
const createIdentity = (address: string, dataCenter: string): PeerIdentity => ({
  name: address,
  dataCenter,
  incarnation: `${address}#1`,
  address,
});
