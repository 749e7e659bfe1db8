/** The open interfaces of this process. */
import type { Interface } from '../kernel/daemon-kernel.js';

/** An interface that listens. */
export interface OpenInterface {
  /** `ip:port` on which it listens. */
  readonly address: string;
  close(): Promise<void>;
}

export class Listeners {
  readonly #open = new Map<Interface, OpenInterface>();

  add(name: Interface, listener: OpenInterface): void {
    this.#open.set(name, listener);
  }

  /** Bound address of each interface. */
  addresses(): Record<string, string> {
    const entries = [...this.#open].map(([name, { address }]) => [
      name,
      address,
    ]);
    return Object.fromEntries(entries) as Record<string, string>;
  }

  async close(name: Interface): Promise<void> {
    const listener = this.#open.get(name);
    this.#open.delete(name);
    await listener?.close();
  }
}
