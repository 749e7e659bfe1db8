/** All that a run of the soak saw, for the checks. Times are steady ms. */
import type {
  Arrival,
  AttemptOutcome,
  ReceivedOrder,
} from '@medlarlever/platform/stand-ins';

import type { InstanceExit } from '../processes/instance-process.js';

import type { FaultLog } from './fault-log.js';

export type RequestKind = 'idempotent' | 'non_idempotent' | 'stream';

/** One attempt of a caller. */
export interface Attempt {
  readonly id: string;
  readonly kind: RequestKind;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly instance: string;
  /** Which life of the instance took it. */
  readonly life: number;
  readonly sentAtMs: number;
  /** The caller closed its connection. */
  leftAtMs: number | undefined;
  endedAtMs: number | undefined;
  end: AttemptOutcome | undefined;
}

/** A version of the configuration and the service of the route that moves. */
export interface ConfigurationChange {
  readonly version: number;
  readonly service: string;
  readonly atMs: number;
}

/** A target that said it is leaving. */
export interface TargetDeparture {
  readonly target: string;
  readonly atMs: number;
}

export interface RunRecord {
  readonly attempts: Attempt[];
  readonly arrivals: readonly Arrival[];
  readonly orders: readonly ReceivedOrder[];
  readonly configurations: ConfigurationChange[];
  readonly targetDepartures: TargetDeparture[];
  readonly exits: InstanceExit[];
  /** Instances that did not get ready long after a start. */
  readonly unreadyInstances: readonly string[];
  readonly faultLog: FaultLog;
  /** When the last fault had ended; nothing was harmed after it. */
  readonly faultFreeSinceMs: number;
  /** Longest time in which the soak itself stood still. */
  readonly longestStallMs: number;
}
