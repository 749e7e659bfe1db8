/** What this instance has to tell of its own work at the targets. */
import type { PromptSegment } from '../requests/relay-request.js';
import type { TargetRegistry } from '../targets/target-registry.js';

import type { News } from './load-report.js';

export class OwnWork {
  #read: News['read'] = [];

  constructor(private readonly targets: TargetRegistry) {}

  /** True while others have not been told of parts that are being read. */
  get hasReading(): boolean {
    return this.#read.length > 0;
  }

  /** Notes parts that a target begins to read. */
  reading(
    target: string,
    parts: readonly PromptSegment[],
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
      .listTargets()
      .map((state): News['loads'][number] => {
        const {
          pendingPrefillTokens: unreadTokens,
          activeRequestCount: running,
        } = state.localLoad;
        const silentMs = Math.round(state.msSinceLastSeen);
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
      .listTargets()
      .map((state): News['pace'][number] => {
        const { meanRatio: ratio, sampleCount: samples } =
          state.takeUnreportedSamples();
        return [state.record.id, Number(ratio.toFixed(2)), samples];
      })
      .filter(([, , samples]) => samples > 0);
  }
}
