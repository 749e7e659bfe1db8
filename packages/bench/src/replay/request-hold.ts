/** Optionally holds requests while an engine of the data centre changes. */
import { sleep } from '@medlarlever/core';
import type { Deadline } from '@medlarlever/core';

const pollMs = 50;

export class ReplayHold {
  readonly #enabled: boolean;
  readonly #swaps = new Map<string, number>();

  constructor(enabled: boolean) {
    this.#enabled = enabled;
  }

  begin(dataCenter: string): void {
    this.#swaps.set(dataCenter, (this.#swaps.get(dataCenter) ?? 0) + 1);
  }

  end(dataCenter: string): void {
    this.#swaps.set(dataCenter, (this.#swaps.get(dataCenter) ?? 1) - 1);
  }

  /** Returns at once unless holding is enabled and a change is under way. */
  async wait(dataCenter: string, deadline: Deadline): Promise<void> {
    if (!this.#enabled) return;
    while ((this.#swaps.get(dataCenter) ?? 0) > 0 && !deadline.hasPassed) {
      await sleep(pollMs);
    }
  }
}
