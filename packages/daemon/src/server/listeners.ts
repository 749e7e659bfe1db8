/** The open interfaces of this process. */
import type { Interface } from '../kernel/app.js';

import type { Listener } from './listener.js';

export class Listeners {
  readonly #open = new Map<Interface, Listener>();

  add(name: Interface, listener: Listener): void {
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
