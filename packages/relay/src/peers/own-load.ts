/** Collects this instance's own load on the targets for its reports. */
import type { PromptSegment } from '../requests/relay-request.js';
import type { TargetRegistry } from '../targets/target-registry.js';

import type { LoadReport } from './load-report.js';

/** Current loads and unreported events of this instance. */
export class OwnLoad {
  #unreportedPrefills: LoadReport['read'] = [];

  constructor(private readonly targets: TargetRegistry) {}

  /** True if started prefills have not been reported to the other instances. */
  get hasUnreportedPrefills(): boolean {
    return this.#unreportedPrefills.length > 0;
  }

  /** Records that a target starts the prefill of the prompt segments. */
  recordPrefillStart(
    target: string,
    segments: readonly PromptSegment[],
    expectedMs: number,
  ): void {
    this.#unreportedPrefills.push([
      target,
      segments.map(({ id, tokens }) => [id, tokens]),
      Math.round(expectedMs),
    ]);
  }

  /** Lists the loads of all targets that process requests of this instance. */
  listLoads(): LoadReport['loads'] {
    return this.targets
      .listTargets()
      .map((state): LoadReport['loads'][number] => {
        const { pendingPrefillTokens, activeRequestCount } = state.localLoad;
        const silentMs = Math.round(state.msSinceLastSeen);
        const { id } = state.record;
        return [id, pendingPrefillTokens, activeRequestCount, silentMs];
      })
      .filter(
        ([, pendingPrefillTokens, activeRequestCount]) =>
          pendingPrefillTokens > 0 || activeRequestCount > 0,
      );
  }

  /** Lists the memory that requests of this instance take at engines. */
  listHeldTokens(): NonNullable<LoadReport['held']> {
    return this.targets
      .listTargets()
      .map(({ record, heldTokens }): [string, number, number] => [
        record.id,
        heldTokens.tokens,
        heldTokens.requestCount,
      ])
      .filter(([, , requests]) => requests > 0);
  }

  /** Returns the events since the last call; each event is reported once. */
  takeUnreportedEvents(): Pick<LoadReport, 'read' | 'pace'> {
    const read = this.#unreportedPrefills;
    this.#unreportedPrefills = [];
    return { read, pace: this.#takeLatencyRatios() };
  }

  #takeLatencyRatios(): LoadReport['pace'] {
    return this.targets
      .listTargets()
      .map((state): LoadReport['pace'][number] => {
        const { meanRatio, sampleCount } = state.takeUnreportedSamples();
        return [state.record.id, Number(meanRatio.toFixed(2)), sampleCount];
      })
      .filter(([, , sampleCount]) => sampleCount > 0);
  }
}
