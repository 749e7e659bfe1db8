/**
 * Interface for calls to the platform that one instance at a time may send.
 * Implementations define the protocol.
 */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

/** Identifies the holder of the lease under which a call is sent. */
export interface DutyHolder {
  /** Name of the instance. */
  readonly name: string;
  /** Rises when the holder changes. */
  readonly fencingToken: number;
}

/** Requests of each customer that targets began to run in one window. */
export interface UsageReport {
  /** Number of the window; window 0 begins at the Unix epoch. */
  readonly window: number;
  /** Number of requests by the name of the customer. */
  readonly counts: Readonly<Record<string, number>>;
}

/** The number of targets of one kind that a service should have in a data centre. */
export interface TargetOrder {
  readonly service: string;
  readonly dataCenter: string;
  readonly desired: number;
  /** True for spot targets, which the platform may reclaim. */
  readonly isSpot: boolean;
}

/**
 * What the platform answered: `unavailable` when no such targets are to be had at
 * present, `rate_limited` when too many calls were sent, `refused` for any other refusal.
 */
export type DutyResult =
  'accepted' | 'unavailable' | 'rate_limited' | 'refused';

/** Sends the calls; a failure means that the outcome is unknown. */
export abstract class DutyClient {
  abstract reportUsage(
    report: UsageReport,
    holder: DutyHolder,
  ): Promise<Either<Failure, DutyResult>>;

  abstract orderTargets(
    order: TargetOrder,
    holder: DutyHolder,
  ): Promise<Either<Failure, DutyResult>>;
}
