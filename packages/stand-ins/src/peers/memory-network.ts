/** An in-memory network of peers, with links that tests can cut. */
import { Failure, Peer, PeerGroup } from '@medlarlever/core';
import type { PeerCallOptions, PeerMethodHandler } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

/** Identity of a peer as in its membership record. */
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

/** Delivers the calls of peers as JSON and counts the bytes. */
export class MemoryNetwork {
  readonly #handlersByAddress = new Map<string, HandlersByMethod>();
  /** Cut links as `from>to` addresses; messages in this direction are lost. */
  readonly #cutLinks = new Set<string>();
  /** Addresses to and from which all messages are lost. */
  readonly #isolatedAddresses = new Set<string>();
  /**
   * Length of the sent message bodies by the sender's address, including
   * answers.
   */
  readonly sentBytesByAddress = new Map<string, number>();

  /** Registers the handlers of a peer, by method name. */
  attachPeer(address: string, methods: HandlersByMethod): void {
    this.#handlersByAddress.set(address, methods);
  }

  detachPeer(address: string): void {
    this.#handlersByAddress.delete(address);
  }

  /**
   * Loses all messages from one address to the other; the opposite direction
   * still works.
   */
  cutLink(from: string, to: string): void {
    this.#cutLinks.add(`${from}>${to}`);
  }

  /** Loses all messages to and from the address. */
  isolatePeer(address: string): void {
    this.#isolatedAddresses.add(address);
  }

  /** Undoes all cuts and isolations. */
  restoreLinks(): void {
    this.#cutLinks.clear();
    this.#isolatedAddresses.clear();
  }

  /** Returns the other attached addresses that messages from `from` reach. */
  listReachableAddresses(from: string): string[] {
    return [...this.#handlersByAddress.keys()].filter(
      address => address !== from && !this.#isLinkCut(from, address),
    );
  }

  /** Creates a connection from one peer to another. */
  connectPeer(from: PeerIdentity, to: PeerIdentity): MemoryPeer {
    return new MemoryPeer(this, from, to);
  }

  /**
   * Delivers a call and returns its answer; a lost request or answer is a
   * failure.
   */
  async deliverCall(
    from: PeerIdentity,
    to: string,
    method: string,
    params: unknown,
  ): Promise<Either<Failure, unknown>> {
    const request = JSON.stringify({ method, params });
    this.#countSentBytes(from.address, request);
    const handler = this.#handlersByAddress.get(to)?.get(method);
    const isLost = this.#isLinkCut(from.address, to);
    if (isLost || handler === undefined)
      return Left(createUnreachableFailure());
    const { params: receivedParams } = JSON.parse(request) as {
      params?: unknown;
    };
    const result = await handler(receivedParams, from.name);
    if (this.#isLinkCut(to, from.address))
      return Left(createUnreachableFailure());
    if (result.isLeft()) return result;
    const answer = JSON.stringify(result.extract() ?? null);
    this.#countSentBytes(to, answer);
    return Right(JSON.parse(answer) as unknown);
  }

  #isLinkCut(from: string, to: string): boolean {
    if (this.#isolatedAddresses.has(from) || this.#isolatedAddresses.has(to))
      return true;
    return this.#cutLinks.has(`${from}>${to}`);
  }

  #countSentBytes(address: string, message: string): void {
    const sentBytes = this.sentBytesByAddress.get(address) ?? 0;
    this.sentBytesByAddress.set(address, sentBytes + message.length);
  }
}

/**
 * A connection to a peer in the network; a failed call resolves only after its
 * timeout.
 */
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
    const result = await network.deliverCall(from, to.address, method, params);
    if (result.isRight()) return result;
    await new Promise(resolve => setTimeout(resolve, options.timeoutMs));
    return result;
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

/** The peers that messages from `address` reach. */
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

/** Creates the identity of a peer whose name is its address. */
const createIdentity = (address: string, dataCenter: string): PeerIdentity => ({
  name: address,
  dataCenter,
  incarnation: `${address}#1`,
  address,
});
