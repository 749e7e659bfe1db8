/**
 * The proxies through which one instance reaches its targets, by the address of
 * the target.
 */
import { FaultProxy } from './fault-proxy.js';

const addressPattern = /127\.0\.0\.1:\d+/g;

/**
 * Starts, finds and stops proxies, and rewrites addresses to those of the
 * proxies.
 */
export class ProxySet {
  readonly #proxies = new Map<string, FaultProxy>();

  /**
   * Starts a proxy for the address. Call it before the instance can see the
   * address.
   */
  async addProxy(address: string): Promise<void> {
    this.#proxies.set(address, await FaultProxy.start(address));
  }

  /** Stops the proxy of the address, which refuses connections from then on. */
  async removeProxy(address: string): Promise<void> {
    const proxy = this.#proxies.get(address);
    this.#proxies.delete(address);
    await proxy?.stop();
  }

  findProxy(address: string): FaultProxy | undefined {
    return this.#proxies.get(address);
  }

  listProxies(): FaultProxy[] {
    return [...this.#proxies.values()];
  }

  /**
   * Returns the text with each known address replaced by the address of its
   * proxy.
   */
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
