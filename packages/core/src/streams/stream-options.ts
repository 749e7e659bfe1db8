/** What the dispatcher of streams is built from. */
import { z } from 'zod';

import type { TargetDirectory } from '../membership/target-directory.js';
import type { RequestMetrics } from '../metrics/request-metrics.js';
import type { PeerGroup } from '../peers/peer-group.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import type { DispatchNews } from '../routing/dispatch-notifier.js';
import type { LoadBook } from '../routing/load-estimator.js';
import type { OutputEstimator } from '../routing/output-length-estimator.js';
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
export interface Retries {
  /** Counts a request, whatever becomes of it. */
  earn(): void;
  /** Takes a retry; false when none is left. */
  take(): boolean;
}

export interface StreamDispatcherOptions {
  readonly directory: TargetDirectory;
  readonly router: Router;
  readonly book: LoadBook;
  readonly prefixes: PrefixIndex;
  readonly estimator: OutputEstimator;
  readonly quarantine: Quarantine;
  readonly peers: PeerGroup;
  readonly retries: Retries;
  readonly log: Log;
  /** Secret of the deployment under which stream ids are signed. */
  readonly secret: string;
  readonly news?: DispatchNews;
  readonly metrics?: RequestMetrics;
  readonly settings?: Partial<StreamSettings>;
}
