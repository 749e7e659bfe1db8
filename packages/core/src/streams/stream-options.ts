/** What the dispatcher of streams is built from. */
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

export const streamSettingsSchema = z.object({
  /** A stream without chunk or heartbeat for this long is silent. */
  silence_ms: z.number().positive().default(3_000),
  /** Limit on a probe over a new connection. */
  probe_ms: z.number().positive().default(1_000),
  /** Engines that one request may be sent to. */
  max_attempts: z.number().int().positive().default(4),
  /** How long a request that has begun waits for another engine. */
  placement_ms: z.number().nonnegative().default(10_000),
  /** Bytes of an answer that wait for a slow caller. */
  buffer_bytes: z.number().int().positive().default(65_536),
  /** A caller that reads nothing for this long is detached. */
  stall_ms: z.number().positive().default(10_000),
  /** How long a rejoin waits for a broken stream to go on elsewhere. */
  rejoin_ms: z.number().positive().default(10_000),
});
export type StreamSettings = z.infer<typeof streamSettingsSchema>;

/** Bounds the retries of a service. */
export interface RetryLimiter {
  /** Counts a request, whatever becomes of it. */
  countRequest(): void;
  /** Takes a retry; false when none is left. */
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
  /** Secret of the deployment under which stream ids are signed. */
  readonly secret: string;
  readonly dispatchNotifier?: DispatchNotifier;
  readonly metrics?: RequestMetrics;
  readonly settings?: Partial<StreamSettings>;
}
