/** The open interfaces of this process. */
import type { InterfaceName } from '../kernel/daemon-kernel.js';

/** An interface that listens. */
export interface OpenListener {
  /** `ip:port` on which it listens. */
  readonly address: string;
  close(): Promise<void>;
}

export class ListenerRegistry {
  readonly #listeners = new Map<InterfaceName, OpenListener>();

  add(name: InterfaceName, listener: OpenListener): void {
    this.#listeners.set(name, listener);
  }

  /** Bound address of each interface. */
  listAddresses(): Record<string, string> {
    const entries = [...this.#listeners].map(([name, { address }]) => [
      name,
      address,
    ]);
    return Object.fromEntries(entries) as Record<string, string>;
  }

  async close(name: InterfaceName): Promise<void> {
    const listener = this.#listeners.get(name);
    this.#listeners.delete(name);
    await listener?.close();
  }
}
