/**
 * Loads the cached prompt segments from the engines after this instance has started,
 * because its prefix cache estimates are lost in a restart.
 */
import { sleep } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { TargetClient } from '../relay/target-client.js';

import type { TargetRegistry } from './target-registry.js';
import type { TargetRecord } from './target-record.js';

/** Longest random delay, so that instances started together spread their queries. */
const startupJitterMs = 400;

/** Engines that register later than this after the start are new and not queried. */
const startupWindowMs = 5_000;

/** Dependencies of {@link PrefixCacheLoader}. */
export interface PrefixCacheLoaderOptions {
  readonly client: TargetClient;
  readonly getTargets: () => TargetRegistry;
  readonly log: Log;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

/** Fills the prefix cache estimates of engines that register after the start. */
export class PrefixCacheLoader {
  readonly #startedAtMs = performance.now();

  constructor(private readonly options: PrefixCacheLoaderOptions) {}

  /** Queries a newly registered engine for its cached segments. */
  async loadCache(record: TargetRecord): Promise<void> {
    const { client, getTargets, log, random } = this.options;
    if (record.role === undefined) return;
    if (performance.now() - this.#startedAtMs > startupWindowMs) return;
    await sleep(random() * startupJitterMs);
    const state = getTargets().findTarget(record.id);
    if (state === undefined || state.remainingQuietMs > 0 || state.isLimited)
      return;
    const segmentsOrFailure = await client.listCachedSegments(record);
    segmentsOrFailure
      .ifLeft(failure => {
        const reason = failure.message;
        log.writeEvent('cache_unlisted', { target: record.id, reason });
      })
      .ifRight(segments => {
        state.prefixCache.addSegments(segments);
      });
  }
}
