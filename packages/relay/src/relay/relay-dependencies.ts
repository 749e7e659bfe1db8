/** What the relay and its request runners work with. */
import type { Log } from '@medlarlever/core';
import type { StreamOrigin } from '../origins/stream-origin.js';
import type { StreamOriginFinder } from '../origins/stream-origin-finder.js';
import type { RequestForwarder } from '../forwarding/request-forwarder.js';
import type { KeyGate } from '../customers/key-gate.js';
import type { CallerBuffers } from '../buffers/caller-buffers.js';
import type { EngineTurns } from '../room/engine-turns.js';
import type { RelayMetrics } from '../metrics/relay-metrics.js';
import type { PromptSegment, RelayRequest } from '../requests/relay-request.js';
import type { CrashCheck } from '../crashes/crash-check.js';
import type { PromptQuarantine } from '../crashes/prompt-quarantine.js';
import type { CrashTracker } from '../crashes/crash-tracker.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { DataCenterReachability } from '../targets/data-center-reachability.js';
import type { TargetLink } from '../targets/target-link.js';
import type { TargetProbe } from '../targets/target-probe.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { ServiceStates } from './service-state.js';
import type { TargetClient } from './target-client.js';

/** Components and settings that the relay and its request runners use. */
export interface RelayDependencies {
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly serviceStates: ServiceStates;
  readonly targetClient: TargetClient;
  readonly probeTarget: TargetProbe;
  readonly crashTracker: CrashTracker;
  /** Called when a connection to the target broke, which may have ended. */
  readonly checkCrash: CrashCheck;
  readonly promptQuarantine: PromptQuarantine;
  readonly targetLink: TargetLink;
  readonly forwarder: RequestForwarder;
  readonly dataCenterReachability: DataCenterReachability;
  readonly metrics: RelayMetrics;
  readonly log: Log;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
  /**
   * True when there are so many instances that they must not all choose the same
   * target from the same outdated load data.
   */
  readonly isLargeDeployment: () => boolean;
  /** Bounds what is held for callers that read slowly. */
  readonly callerBuffers: CallerBuffers;
  /** Order of the instances at engines whose memory is short. */
  readonly engineTurns: EngineTurns;
  /** True if an engine ends when its requests exceed its memory. */
  readonly boundsEngineMemory: () => boolean;
  /** Data centre of this instance. */
  readonly dataCenter: string;
  /** Current event loop delay of this process. */
  readonly getEventLoopDelayMs: () => number;
  /** Longest time that a new request may still run before the shutdown. */
  readonly getRemainingMs: () => number;
  readonly originFinder: StreamOriginFinder;
  readonly keyGate: KeyGate;
  /** Called before the first event that a target makes of a resumable stream is passed on. */
  readonly onStreamBegin: (request: string, origin: StreamOrigin) => void;
  /** Called when a prefill of prompt segments is sent to an engine. */
  readonly onPrefillStart: (
    target: string,
    segments: readonly PromptSegment[],
    expectedMs: number,
  ) => void;
  /**
   * Called once for a request whose run a target has begun, with the monotonic time
   * of the beginning. Undefined if no usage is reported.
   */
  readonly onRunStart?: (request: RelayRequest, startedAtMs: number) => void;
}
