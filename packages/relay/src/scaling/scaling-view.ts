/** What the scaling policy knows of one service at one point in time. */
import type { ScalingSettings } from '../routes/route-configuration.js';

/** The kinds of targets, which are ordered separately. */
export const targetKinds = ['onDemand', 'spot'] as const;
export type TargetKind = (typeof targetKinds)[number];

/** Targets of one kind in one data centre. */
export interface KindView {
  /** Targets that take new work. */
  readonly open: number;
  /** Targets that are about to end. */
  readonly leaving: number;
}

/** Targets and demand in one data centre. */
export interface DataCenterView {
  readonly name: string;
  readonly onDemand: KindView;
  readonly spot: KindView;
  /** Prompt tokens a second that callers of this data centre have prefilled anywhere. */
  readonly prefillTokensPerSecond: number;
  /** Requests that run or wait at the targets of this data centre. */
  readonly runningRequests: number;
}

/** Measured speeds and limits of the targets of a service. */
export interface TargetCapacity {
  readonly isEngine: boolean;
  /** Prompt tokens that an engine prefills in a millisecond. */
  readonly prefillTokensPerMs: number;
  /** Requests for which a target has both slots and memory. */
  readonly requestsPerTarget: number;
  /** Mean time between the events of streams; undefined before the first one. */
  readonly eventGapMs: number | undefined;
}

/** Input of the scaling policy. */
export interface ScalingView {
  /** Monotonic time of the view, in milliseconds. */
  readonly nowMs: number;
  readonly settings: ScalingSettings;
  readonly capacity: TargetCapacity;
  readonly dataCenters: readonly DataCenterView[];
  /** Prompt tokens that wait behind the prompt that each prefill engine computes. */
  readonly waitingTokens: number;
  /** True if most instances have long been out of reach, and may have callers. */
  readonly isDemandPartial: boolean;
  /** Why the view is too incomplete to order by; undefined if it is not. */
  readonly obstacle: string | undefined;
}
