/**
 * The record of a soak run that the checks examine. Times are in milliseconds of
 * the monotonic clock (`performance.now()`).
 */
import type {
  Arrival,
  AttemptOutcome,
  Crash,
  DutyCall,
  LimitPeriod,
  PauseRequest,
  ReceivedOrder,
  StreamResumption,
} from '@medlarlever/platform/stand-ins';

import type { InstanceExit } from '../processes/instance-process.js';

import type { KeyPeriod } from './customer-keys.js';
import type { FaultLog } from './fault-log.js';

/** How a request may be repeated: freely, never, or by resuming its stream. */
export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** One request of a caller, with its outcome. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly instance: string;
  /** Start count of the instance process when the request was sent. */
  readonly life: number;
  /** Time of that start. */
  readonly lifeStartedAtMs: number;
  readonly sentAtMs: number;
  /** Ids of the parts of the prompt; empty if the request has none. */
  readonly promptParts: readonly string[];
  /** Key that the request carries; undefined without one. */
  readonly usedKey?: KeyPeriod;
  /** The stream that the caller takes up again; undefined for a new request. */
  readonly resumption?: StreamResumption;
  /** Decode engines of the stream's software version that served then. */
  readonly servingOfVersion?: number;
  /** Time at which the caller disconnected early. */
  leftAtMs: number | undefined;
  endedAtMs: number | undefined;
  end: AttemptOutcome | undefined;
}

/**
 * A configuration version, the service of its moving route and the time of its
 * write.
 */
export interface ConfigurationChange {
  readonly version: number;
  readonly service: string;
  readonly atMs: number;
}

/** The time at which a target announced that it leaves. */
export interface TargetDeparture {
  readonly target: string;
  readonly atMs: number;
}

/** A time in which callers send prompts with a part that crashes engines. */
export interface CrashingPartPeriod {
  readonly part: string;
  readonly fromMs: number;
  /** Infinity until the period ends. */
  toMs: number;
}

/** A time in which instances reached no target. */
export interface TargetCutPeriod {
  readonly instances: readonly string[];
  readonly fromMs: number;
  /** Infinity until the period ends. */
  toMs: number;
}

/** All observations of a run. */
export interface RunRecord {
  readonly attempts: Attempt[];
  readonly arrivals: readonly Arrival[];
  readonly orders: readonly ReceivedOrder[];
  /** Calls at the interface for duties, in the order of their processing. */
  readonly dutyCalls: readonly DutyCall[];
  readonly pauseRequests: readonly PauseRequest[];
  readonly limitPeriods: readonly LimitPeriod[];
  readonly crashes: readonly Crash[];
  readonly crashingPartPeriods: readonly CrashingPartPeriod[];
  readonly targetCuts: readonly TargetCutPeriod[];
  readonly configurations: ConfigurationChange[];
  readonly targetDepartures: TargetDeparture[];
  readonly exits: InstanceExit[];
  /** Instances that did not become ready in time after a start. */
  readonly unreadyInstances: readonly string[];
  readonly faultLog: FaultLog;
  /** Time at which the last fault ended. */
  readonly faultFreeSinceMs: number;
  /** Longest stall of the soak process in milliseconds. */
  readonly longestStallMs: number;
}
