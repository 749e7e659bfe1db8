/**
 * Applies what targets say about themselves in their responses: that they leave, that
 * they want no requests from this instance for a while, or how many requests they
 * take from all instances.
 */
import type { Kernel, Log } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerTopology } from '../peers/peer-topology.js';

import type { TargetRegistry } from './target-registry.js';
import type { TargetRecord } from './target-record.js';
import type { TargetState } from './target-state.js';

/** Peer method that tells the other instances that a target is leaving. */
const targetLeavingMethod = 'relay.target-leaving';

const targetLeavingSchema = z.object({
  target: z.string(),
  /** Identifies the incarnation; absent if the target does not state it. */
  startedAtMs: z.number().optional(),
});

/**
 * Longest delay before the peers are told. Most of them learn it meanwhile, from the
 * registration or another instance, and then nothing is sent.
 */
const maxNotificationDelayMs = 200;

/** Longest pause that a target can ask for; longer ones are shortened to it. */
const maxQuietMs = 5 * 60_000;

/** Highest limit that makes a difference; higher ones are lowered to it. */
const maxRequestsPerSecond = 100_000;

/** Logs that the limit of a target has changed, and from whom that is known. */
export const logTargetLimit = (
  log: Log,
  { record, limiter }: TargetState,
  source: 'response' | 'peer',
): void => {
  log.writeEvent('target_limited', {
    target: record.id,
    service: record.service,
    per_second: limiter.statement.requestsPerSecond ?? null,
    source,
  });
};

/** Dependencies of {@link TargetAnnouncements}. */
export interface TargetAnnouncementsOptions {
  readonly targets: TargetRegistry;
  readonly getTopology: () => PeerTopology;
  readonly log: Log;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

/** Records announcements of targets and passes departures on to the peers. */
export class TargetAnnouncements {
  readonly #options: TargetAnnouncementsOptions;
  /** Departures that the peers are to be told, as `id startedAtMs`. */
  readonly #pendingNotifications = new Set<string>();
  #leavingCount = 0;
  #quietPeriodCount = 0;
  #limitCount = 0;

  constructor(options: TargetAnnouncementsOptions) {
    this.#options = options;
  }

  /** Number of departures that targets announced to this instance. */
  get leavingCount(): number {
    return this.#leavingCount;
  }

  /** Number of pauses that targets asked this instance for. */
  get quietPeriodCount(): number {
    return this.#quietPeriodCount;
  }

  /** Number of new limits that targets named to this instance. */
  get limitCount(): number {
    return this.#limitCount;
  }

  /** Registers the peer method that reports departures. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(targetLeavingMethod, params => {
      const { target: id, startedAtMs } = targetLeavingSchema.parse(params);
      const record = { id, startedAtMs };
      this.#pendingNotifications.delete(formatIncarnation(record));
      this.#options.targets.recordAnnouncedLeaving(record, 'peer');
      return Promise.resolve(Right(null));
    });
  }

  /** Records that the target leaves; it gets no new requests from now on. */
  recordLeaving(record: TargetRecord): void {
    const { targets, random } = this.#options;
    if (!targets.recordAnnouncedLeaving(record, 'response')) return;
    this.#leavingCount += 1;
    this.#pendingNotifications.add(formatIncarnation(record));
    setTimeout(() => {
      this.#notifyPeers(record);
    }, random() * maxNotificationDelayMs).unref();
  }

  /** Records that the target wants no requests for the given time from now. */
  recordQuietPeriod(record: TargetRecord, durationMs: number): void {
    const { log } = this.#options;
    const state = this.#findIncarnation(record);
    if (state === undefined) return;
    const quietMs = Math.min(maxQuietMs, durationMs);
    if (state.remainingQuietMs >= quietMs) return;
    state.startQuietPeriod(quietMs);
    this.#quietPeriodCount += 1;
    log.writeEvent('target_quiet', {
      target: record.id,
      service: record.service,
      for_ms: Math.round(quietMs),
    });
  }

  /** Records that the target takes so many requests a second from all instances. */
  recordLimit(record: TargetRecord, requestsPerSecond: number): void {
    const state = this.#findIncarnation(record);
    const limit = Math.min(maxRequestsPerSecond, requestsPerSecond);
    const nowMs = performance.now();
    if (state?.limiter.statement.recordLimit(limit, nowMs) !== true) return;
    this.#limitCount += 1;
    logTargetLimit(this.#options.log, state, 'response');
  }

  /** Records an answer without a limit to a request that was sent at `sentAtMs`. */
  recordNoLimit(record: TargetRecord, sentAtMs: number): void {
    const state = this.#findIncarnation(record);
    if (state?.limiter.statement.recordNoLimit(sentAtMs) === true)
      logTargetLimit(this.#options.log, state, 'response');
  }

  /** Records that the target named a limit that can't be read. */
  recordUnreadableLimit({ id }: TargetRecord, value: string): void {
    this.#options.log.writeEvent('limit_unreadable', { target: id, value });
  }

  /** True while the target wants no requests from this instance. */
  isQuiet({ id }: TargetRecord): boolean {
    const state = this.#options.targets.findTarget(id);
    return state !== undefined && state.remainingQuietMs > 0;
  }

  /** Returns the state of the target unless another incarnation is registered. */
  #findIncarnation({ id, startedAtMs }: TargetRecord): TargetState | undefined {
    const state = this.#options.targets.findTarget(id);
    return state?.record.startedAtMs === startedAtMs ? state : undefined;
  }

  #notifyPeers({ id, startedAtMs }: TargetRecord): void {
    const incarnation = formatIncarnation({ id, startedAtMs });
    const state = this.#options.targets.findTarget(id);
    const isRegisteredAsLeaving = state === undefined || state.record.leaving;
    const isPending = this.#pendingNotifications.delete(incarnation);
    if (!isPending || isRegisteredAsLeaving) return;
    const message = { target: id, startedAtMs };
    this.#options.getTopology().notifyAll(targetLeavingMethod, message);
  }
}

const formatIncarnation = ({
  id,
  startedAtMs,
}: Pick<TargetRecord, 'id' | 'startedAtMs'>): string =>
  `${id} ${startedAtMs ?? ''}`;
