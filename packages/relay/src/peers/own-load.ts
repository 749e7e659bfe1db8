/** What this instance has to tell of its own work at the targets. */
import type { PromptSegment } from '../requests/relay-request.js';
import type { TargetRegistry } from '../targets/target-registry.js';

import type { LoadReport } from './load-report.js';

export class OwnLoad {
  #unreportedPrefills: LoadReport['read'] = [];

  constructor(private readonly targets: TargetRegistry) {}

  /** True while others have not been told of parts that are being read. */
  get hasUnreportedPrefills(): boolean {
    return this.#unreportedPrefills.length > 0;
  }

  /** Notes parts that a target begins to read. */
  recordPrefillStart(
    target: string,
    parts: readonly PromptSegment[],
    expectedMs: number,
  ): void {
    this.#unreportedPrefills.push([
      target,
      parts.map(({ id, tokens }) => [id, tokens]),
      Math.round(expectedMs),
    ]);
  }

  /** Targets that have work of this instance. */
  listLoads(): LoadReport['loads'] {
    return this.targets
      .listTargets()
      .map((state): LoadReport['loads'][number] => {
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
  takeUnreportedEvents(): Pick<LoadReport, 'read' | 'pace'> {
    const read = this.#unreportedPrefills;
    this.#unreportedPrefills = [];
    return { read, pace: this.#takeLatencyRatios() };
  }

  #takeLatencyRatios(): LoadReport['pace'] {
    return this.targets
      .listTargets()
      .map((state): LoadReport['pace'][number] => {
        const { meanRatio: ratio, sampleCount: samples } =
          state.takeUnreportedSamples();
        return [state.record.id, Number(ratio.toFixed(2)), samples];
      })
      .filter(([, , samples]) => samples > 0);
  }
}
