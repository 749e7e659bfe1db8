/** Settings and dependencies of the stream dispatcher. */
import { z } from 'zod';

import type { TargetDirectory } from '../membership/target-directory.js';
import type { RequestMetrics } from '../metrics/request-metrics.js';
import type { PeerGroup } from '../peers/peer-group.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { DispatchNotifier } from '../routing/dispatch-notifier.js';
import type { LoadEstimator } from '../routing/load-estimator.js';
import type { OutputLengthEstimator } from '../routing/output-length-estimator.js';
import type { PrefixIndex } from '../routing/prefix-index.js';
import type { Router } from '../routing/router.js';
import type { Log } from '../shared/log.js';

/** Settings of the streams between callers, instances and engines. */
export const streamSettingsSchema = z.object({
  /**
   * Milliseconds without a chunk or heartbeat after which a connection is
   * silent.
   */
  silence_ms: z.number().positive().default(3_000),
  /** Time limit for a health probe on a new connection. */
  probe_ms: z.number().positive().default(1_000),
  /** Maximum number of attempts to run one request, prefills included. */
  max_attempts: z.number().int().positive().default(4),
  /**
   * Milliseconds, from the first failed placement, that a request which already
   * ran on an engine waits for another one.
   */
  placement_ms: z.number().nonnegative().default(10_000),
  /**
   * Maximum number of bytes of an answer that are buffered for a slow caller.
   */
  buffer_bytes: z.number().int().positive().default(65_536),
  /**
   * Milliseconds without a read after which a caller with a full buffer is
   * dropped.
   */
  stall_ms: z.number().positive().default(10_000),
  /**
   * Milliseconds that a resumed stream without new chunks waits to find the
   * engine that now runs the generation; the time restarts with each chunk.
   */
  rejoin_ms: z.number().positive().default(10_000),
});
export type StreamSettings = z.infer<typeof streamSettingsSchema>;

/** Limits the retries of a service in proportion to its requests. */
export interface RetryLimiter {
  /** Counts a request, whether it succeeds or fails. */
  countRequest(): void;
  /** Consumes one retry; returns false when the budget is exhausted. */
  takeRetry(): boolean;
}

export interface StreamDispatcherOptions {
  readonly directory: TargetDirectory;
  readonly router: Router;
  readonly loadEstimator: LoadEstimator;
  readonly prefixIndex: PrefixIndex;
  readonly outputLengthEstimator: OutputLengthEstimator;
  readonly quarantine: Quarantine;
  readonly peers: PeerGroup;
  readonly retryLimiter: RetryLimiter;
  readonly log: Log;
  /** Key that signs stream ids, the same on all instances of a deployment. */
  readonly secret: string;
  readonly dispatchNotifier?: DispatchNotifier;
  readonly metrics?: RequestMetrics;
  readonly settings?: Partial<StreamSettings>;
}
