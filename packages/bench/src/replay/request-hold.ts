/** Optionally holds requests while an engine of the data centre changes. */
import { sleep } from '@medlarlever/core';
import type { Deadline } from '@medlarlever/core';

const pollIntervalMs = 50;

export class RequestHold {
  readonly #isEnabled: boolean;
  readonly #activeChanges = new Map<string, number>();

  constructor(enabled: boolean) {
    this.#isEnabled = enabled;
  }

  beginChange(dataCenter: string): void {
    this.#activeChanges.set(
      dataCenter,
      (this.#activeChanges.get(dataCenter) ?? 0) + 1,
    );
  }

  endChange(dataCenter: string): void {
    this.#activeChanges.set(
      dataCenter,
      (this.#activeChanges.get(dataCenter) ?? 1) - 1,
    );
  }

  /** Returns at once unless holding is enabled and a change is under way. */
  async waitForChanges(dataCenter: string, deadline: Deadline): Promise<void> {
    if (!this.#isEnabled) return;
    while (
      (this.#activeChanges.get(dataCenter) ?? 0) > 0 &&
      !deadline.hasPassed
    ) {
      await sleep(pollIntervalMs);
    }
  }
}
