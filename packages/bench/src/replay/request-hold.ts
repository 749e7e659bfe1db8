/** Holds requests while an engine of their data centre changes role. */
import { sleep } from '@medlarlever/core';
import type { Deadline } from '@medlarlever/core';

const pollIntervalMs = 50;

/**
 * Delays requests while an engine of their data centre changes its role. If
 * disabled, requests are not delayed.
 */
export class RequestHold {
  readonly #isEnabled: boolean;
  /** Number of role changes in progress, by data centre. */
  readonly #activeChanges = new Map<string, number>();

  constructor(isEnabled: boolean) {
    this.#isEnabled = isEnabled;
  }

  /** Records the start of a role change; requests are held from now on. */
  beginChange(dataCenter: string): void {
    this.#activeChanges.set(
      dataCenter,
      (this.#activeChanges.get(dataCenter) ?? 0) + 1,
    );
  }

  /** Records the end of a role change that `beginChange` recorded. */
  endChange(dataCenter: string): void {
    this.#activeChanges.set(
      dataCenter,
      (this.#activeChanges.get(dataCenter) ?? 1) - 1,
    );
  }

  /**
   * Waits until no role change is in progress in the data centre or the deadline
   * has passed. Returns immediately if holding is disabled.
   */
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
