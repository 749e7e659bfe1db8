/**
 * Keeps what was ordered in each data centre, compares it with the targets that
 * register, and remembers where none are to be had.
 */
import type { DutyResult } from '../duties/duty-client.js';

import type { TargetKind } from './scaling-view.js';

/** Time without orders for more targets after a refusal; doubles with each one. */
const minRefusalMs = 5_000;
const maxRefusalMs = 40_000;

/** Times the start-up time after which an order without effect counts as refused. */
const ineffectiveAfterStartups = 3;

/**
 * Times the start-up time after which an order whose answer was lost is held not to
 * have arrived. It names the whole number, so sending it again is harmless.
 */
const lostAfterStartups = 1.5;

/** State of the orders for one kind in one data centre. */
interface Standing {
  /** Targets that there should be after the last order. */
  desired: number;
  /** Most targets that the platform may hold to be ordered, after losses as well. */
  mostOrdered: number;
  lastOpen: number;
  orderedAtMs: number;
  isConfirmed: boolean;
  /** True until the targets of an order for more have registered. */
  isIncreasing: boolean;
  /** Time since which fewer, or more, targets are open than desired. */
  missingSinceMs: number | undefined;
  extraSinceMs: number | undefined;
  refusedUntilMs: number;
  refusalMs: number;
}

/** Orders of one service. */
export class StandingOrders {
  readonly #standings = new Map<string, Standing>();
  /** Time of the last accepted order of the service. */
  #changedAtMs = -Infinity;
  #increasedAtMs = -Infinity;

  get changedAtMs(): number {
    return this.#changedAtMs;
  }

  /** Time of the last accepted order for more targets. */
  get increasedAtMs(): number {
    return this.#increasedAtMs;
  }

  /** Targets that there should be; 0 for a kind that was never seen. */
  getDesired(dataCenter: string, kind: TargetKind): number {
    return this.#standings.get(formatKey(dataCenter, kind))?.desired ?? 0;
  }

  /**
   * Returns the most targets that the platform may hold to be ordered: it may replace
   * lost ones, and an order to give some back may not have arrived.
   */
  getMostOrdered(dataCenter: string, kind: TargetKind): number {
    return this.#standings.get(formatKey(dataCenter, kind))?.mostOrdered ?? 0;
  }

  /** True while more targets of the kind are not ordered in the data centre. */
  isRefused(dataCenter: string, kind: TargetKind, nowMs: number): boolean {
    const standing = this.#standings.get(formatKey(dataCenter, kind));
    return standing !== undefined && nowMs < standing.refusedUntilMs;
  }

  /** Takes the targets that there are as ordered, by whoever that was. */
  adopt(dataCenter: string, kind: TargetKind, open: number): void {
    const standing = this.#getStanding(dataCenter, kind);
    standing.desired = open;
    standing.mostOrdered = open;
    standing.lastOpen = open;
  }

  /** Compares the orders with the targets that are open now. */
  observe(
    dataCenter: string,
    kind: TargetKind,
    open: number,
    {
      nowMs,
      startupMs,
    }: { readonly nowMs: number; readonly startupMs: number },
  ): void {
    const standing = this.#getStanding(dataCenter, kind);
    const wasLost = kind === 'spot' && open < standing.lastOpen;
    standing.lastOpen = open;
    const { desired } = standing;
    if (open >= desired) {
      standing.missingSinceMs = undefined;
      standing.isConfirmed = true;
      if (standing.isIncreasing) standing.refusalMs = 0;
      standing.isIncreasing = false;
      this.#observeExtra(standing, open, nowMs, startupMs);
      return;
    }
    standing.extraSinceMs = undefined;
    standing.missingSinceMs ??= nowMs;
    const missingMs =
      nowMs - Math.max(standing.missingSinceMs, standing.orderedAtMs);
    const isIneffective = missingMs >= ineffectiveAfterStartups * startupMs;
    const wasAnswerLost =
      !standing.isConfirmed && missingMs >= lostAfterStartups * startupMs;
    if (!wasLost && !isIneffective && !wasAnswerLost) return;
    standing.desired = open;
    standing.missingSinceMs = undefined;
    if (wasAnswerLost && !wasLost) return;
    standing.isIncreasing = false;
    // Spot targets are reclaimed when the platform has none to spare.
    refuse(standing, nowMs);
  }

  /** Records the answer to an order; undefined if the outcome is unknown. */
  recordResult(
    dataCenter: string,
    kind: TargetKind,
    order: {
      readonly desired: number;
      readonly result: DutyResult | undefined;
      readonly nowMs: number;
    },
  ): void {
    const { desired, result, nowMs } = order;
    const standing = this.#getStanding(dataCenter, kind);
    if (result === 'rate_limited') return;
    if (result === 'unavailable' || result === 'refused') {
      refuse(standing, nowMs);
      return;
    }
    this.#changedAtMs = nowMs;
    standing.isIncreasing = desired > standing.desired;
    if (standing.isIncreasing) this.#increasedAtMs = nowMs;
    standing.mostOrdered =
      result === 'accepted' ? desired : Math.max(standing.mostOrdered, desired);
    standing.desired = desired;
    standing.orderedAtMs = nowMs;
    standing.isConfirmed = result === 'accepted';
    standing.missingSinceMs = undefined;
    standing.extraSinceMs = undefined;
  }

  /** Takes over targets that stay although none of the orders is for them. */
  #observeExtra(
    standing: Standing,
    open: number,
    nowMs: number,
    startupMs: number,
  ): void {
    if (open === standing.desired) {
      standing.extraSinceMs = undefined;
      return;
    }
    standing.extraSinceMs ??= nowMs;
    const extraMs =
      nowMs - Math.max(standing.extraSinceMs, standing.orderedAtMs);
    if (extraMs >= ineffectiveAfterStartups * startupMs)
      standing.desired = open;
    standing.mostOrdered = Math.max(standing.mostOrdered, standing.desired);
  }

  #getStanding(dataCenter: string, kind: TargetKind): Standing {
    const key = formatKey(dataCenter, kind);
    const existing = this.#standings.get(key);
    if (existing !== undefined) return existing;
    const standing: Standing = {
      desired: 0,
      mostOrdered: 0,
      lastOpen: 0,
      orderedAtMs: -Infinity,
      isConfirmed: true,
      isIncreasing: false,
      missingSinceMs: undefined,
      extraSinceMs: undefined,
      refusedUntilMs: -Infinity,
      refusalMs: 0,
    };
    this.#standings.set(key, standing);
    return standing;
  }
}

const refuse = (standing: Standing, nowMs: number): void => {
  standing.refusalMs = Math.min(
    maxRefusalMs,
    Math.max(minRefusalMs, 2 * standing.refusalMs),
  );
  standing.refusedUntilMs = nowMs + standing.refusalMs;
};

const formatKey = (dataCenter: string, kind: TargetKind): string =>
  `${kind} ${dataCenter}`;
