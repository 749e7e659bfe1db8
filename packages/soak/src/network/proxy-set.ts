/** The proxies through which one instance reaches others, by real address. */
import { FaultProxy } from './fault-proxy.js';

const addressPattern = /127\.0\.0\.1:\d+/g;

export class ProxySet {
  readonly #proxies = new Map<string, FaultProxy>();

  /** The proxy must stand before the address is shown to the instance. */
  async addProxy(address: string): Promise<void> {
    this.#proxies.set(address, await FaultProxy.start(address));
  }

  findProxy(address: string): FaultProxy | undefined {
    return this.#proxies.get(address);
  }

  listProxies(): FaultProxy[] {
    return [...this.#proxies.values()];
  }

  /** The text with each known address replaced by that of its proxy. */
  rewriteAddresses(text: string): string {
    return text.replaceAll(
      addressPattern,
      address => this.#proxies.get(address)?.address ?? address,
    );
  }

  async stop(): Promise<void> {
    await Promise.all(this.listProxies().map(proxy => proxy.stop()));
  }
}
