/** Tracks the open HTTP interfaces of this process. */
import type { InterfaceName } from '../kernel/daemon-kernel.js';

/** An HTTP interface that is listening. */
export interface OpenListener {
  /** Bound address as `ip:port`. */
  readonly address: string;
  close(): Promise<void>;
}

/** Holds the open listener of each interface. */
export class ListenerRegistry {
  readonly #listeners = new Map<InterfaceName, OpenListener>();

  add(name: InterfaceName, listener: OpenListener): void {
    this.#listeners.set(name, listener);
  }

  /** Returns the bound address (`ip:port`) of each open interface by its name. */
  listAddresses(): Record<string, string> {
    const entries = [...this.#listeners].map(([name, { address }]) => [
      name,
      address,
    ]);
    return Object.fromEntries(entries) as Record<string, string>;
  }

  /** Closes an interface; does nothing if it is not open. */
  async close(name: InterfaceName): Promise<void> {
    const listener = this.#listeners.get(name);
    this.#listeners.delete(name);
    await listener?.close();
  }
}
