/** What this instance has to tell of its own work at the targets. */
import type { PromptPart } from '../requests/relay-request.js';
import type { TargetBook } from '../targets/target-registry.js';

import type { News } from './load-report.js';

export class OwnWork {
  #read: News['read'] = [];

  constructor(private readonly targets: TargetBook) {}

  /** True while others have not been told of parts that are being read. */
  get hasReading(): boolean {
    return this.#read.length > 0;
  }

  /** Notes parts that a target begins to read. */
  reading(
    target: string,
    parts: readonly PromptPart[],
    expectedMs: number,
  ): void {
    this.#read.push([
      target,
      parts.map(({ id, tokens }) => [id, tokens]),
      Math.round(expectedMs),
    ]);
  }

  /** Targets that have work of this instance. */
  loads(): News['loads'] {
    return this.targets
      .all()
      .map((state): News['loads'][number] => {
        const { unreadTokens, running } = state.ownLoad;
        const silentMs = Math.round(state.silentMs);
        const { id } = state.record;
        return [id, unreadTokens, running, silentMs];
      })
      .filter(([, unread, running]) => unread > 0 || running > 0);
  }

  /** What is told once. */
  take(): Pick<News, 'read' | 'pace'> {
    const read = this.#read;
    this.#read = [];
    return { read, pace: this.#pace() };
  }

  #pace(): News['pace'] {
    return this.targets
      .all()
      .map((state): News['pace'][number] => {
        const { ratio, samples } = state.takeUntold();
        return [state.record.id, Number(ratio.toFixed(2)), samples];
      })
      .filter(([, , samples]) => samples > 0);
  }
}
