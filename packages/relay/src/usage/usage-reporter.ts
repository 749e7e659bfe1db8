/** Reports the requests of each customer to the platform, window by window. */
import type { Failure, InstanceRegistry, Log, Table } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import { Duty } from '../duties/duty.js';
import type { DutyAuthority } from '../duties/duty-authority.js';
import type {
  DutyClient,
  DutyHolder,
  DutyResult,
} from '../duties/duty-client.js';

import { CallPacing } from './call-pacing.js';
import type { CallOutcome } from './call-pacing.js';
import type { TrueTime } from './true-time.js';
import type { UsageMetrics } from './usage-metrics.js';
import { createUsageWrites, readUsageRows } from './usage-rows.js';
import { UsageTerm } from './usage-term.js';
import type { WindowReport } from './usage-term.js';
import type { CustomerCounts } from './usage-totals.js';
import {
  getWindowEndMs,
  isWindowGivenUp,
  isWindowLate,
  planClosing,
  planTerm,
} from './usage-windows.js';
import type { UsageTiming } from './usage-windows.js';

/** Time for the answers to a request for totals, before the first window is closed. */
const totalsRequestMs = 800;

/**
 * Interval of requests for totals while this instance is not among those to which
 * they are sent unasked.
 */
const totalsRequestIntervalMs = 4_000;

/** Windows, before the next one, of which it is kept that they are late or missed. */
const maxRecordedWindows = 1_000;

/** Where the totals of all instances come from. */
export interface UsageSource {
  /** Asks all instances for totals that this one does not have. */
  requestTotals(fromWindow: number): void;
  /** True if no instance is known that may still send totals of the window. */
  isComplete(window: number): boolean;
  /** Returns the totals of all instances, this one included. */
  sumWindow(window: number): CustomerCounts;
  /** True if the other instances send their totals to this one unasked. */
  readonly isCandidate: boolean;
}

/** Dependencies of {@link UsageReporter}. */
export interface UsageReporterOptions {
  readonly table: Table;
  readonly registry: InstanceRegistry;
  readonly client: DutyClient;
  readonly source: UsageSource;
  readonly time: TrueTime;
  readonly timing: UsageTiming;
  readonly log: Log;
  readonly metrics: UsageMetrics;
  readonly getCallsPerSecond: () => number;
}

/** Duty that reports usage. */
export class UsageReporter extends Duty {
  override readonly name = 'usage reports';
  readonly #options: UsageReporterOptions;
  readonly #pacing: CallPacing;
  /** Reports that this process knows to have been written, also in earlier terms. */
  readonly #knownReports = new Map<number, CustomerCounts>();
  /** Windows of known reports that were accepted. */
  readonly #acceptedWindows = new Set<number>();
  /** Windows recorded as late and as missed, so that each is recorded once. */
  readonly #lateWindows = new Set<number>();
  readonly #missedWindows = new Set<number>();
  #authority: DutyAuthority | undefined;
  #term: UsageTerm | undefined;
  #acquiredAtMs = 0;
  #firstRequestedAtMs: number | undefined;
  #lastRequestedAtMs = 0;
  #lastAcceptedWindow: number | undefined;

  constructor(options: UsageReporterOptions) {
    super();
    this.#options = options;
    this.#pacing = new CallPacing(options.getCallsPerSecond);
  }

  override get isImpeded(): boolean {
    return this.#pacing.isImpeded;
  }

  /** True while this instance holds the lease and has begun to take steps. */
  get isHolder(): boolean {
    return this.#authority?.isHeld === true;
  }

  /** Time since the end of the last accepted window; undefined unless this is the holder. */
  get acceptedAgeMs(): number | undefined {
    const { time, timing } = this.#options;
    if (this.#lastAcceptedWindow === undefined || !this.isHolder)
      return undefined;
    return time.nowMs - getWindowEndMs(this.#lastAcceptedWindow, timing);
  }

  override startTerm(): void {
    this.#acquiredAtMs = this.#options.time.nowMs;
    this.#term = undefined;
    this.#firstRequestedAtMs = undefined;
    this.#lastAcceptedWindow = undefined;
    this.#pacing.startTerm();
  }

  override async takeStep(authority: DutyAuthority): Promise<void> {
    this.#authority = authority;
    this.#term ??= await this.#loadTerm();
    const term = this.#term;
    if (term === undefined || !authority.isHeld) return;
    this.#requestTotals(term);
    this.#settleOldWindows(term);
    const changes = term.planChanges(this.#closeWindows(term));
    const hasDueCall = this.#findDueWindow(term) !== undefined;
    if (changes.added.length === 0 && !hasDueCall) return;
    const confirmation = await authority.confirm(createUsageWrites(changes));
    if (confirmation.isLeft()) {
      // The write may have taken effect; the rows tell.
      this.#term = undefined;
      return;
    }
    term.applyChanges(changes);
    for (const [window, counts] of changes.added)
      this.#knownReports.set(window, counts);
    await this.#sendDueReport(term, confirmation.unsafeCoerce());
  }

  async #loadTerm(): Promise<UsageTerm | undefined> {
    const { table, registry, timing } = this.#options;
    const result = await readUsageRows(table);
    if (result.isLeft()) return undefined;
    const rows = result.unsafeCoerce();
    const startTimes = registry
      .listInstances()
      .map(({ startedAtMs }) => startedAtMs);
    const plan = planTerm({
      timing,
      rows,
      era: table.eras.currentEra,
      knownReports: this.#knownReports,
      acceptedWindows: this.#acceptedWindows,
      acquiredAtMs: this.#acquiredAtMs,
      firstStartMs: Math.min(...startTimes),
    });
    for (const window of plan.skippedWindows)
      this.#recordMissed(
        window,
        'the store was restored, or no holder was there',
      );
    for (const [window, counts] of rows.reports)
      this.#knownReports.set(window, counts);
    const term = new UsageTerm(rows, plan);
    for (const window of rows.reports.keys())
      if (this.#acceptedWindows.has(window)) term.settleWindow(window);
    return term;
  }

  /** Asks for totals at the start of a term, and later if they are not sent unasked. */
  #requestTotals({ nextWindow }: UsageTerm): void {
    const { source } = this.#options;
    const nowMs = performance.now();
    const isDue =
      this.#firstRequestedAtMs === undefined ||
      (!source.isCandidate &&
        nowMs - this.#lastRequestedAtMs >= totalsRequestIntervalMs);
    if (!isDue) return;
    source.requestTotals(nextWindow);
    this.#firstRequestedAtMs ??= nowMs;
    this.#lastRequestedAtMs = nowMs;
  }

  /** Records overdue reports once, and gives up those that are too old. */
  #settleOldWindows(term: UsageTerm): void {
    const { time, timing } = this.#options;
    const { nowMs } = time;
    for (const window of [...term.listUnsettledWindows(), term.nextWindow]) {
      if (isWindowLate(window, timing, nowMs))
        this.#recordLate(window, window !== term.nextWindow);
    }
    for (const window of term.listUnsettledWindows()) {
      if (!isWindowGivenUp(window, timing, nowMs)) continue;
      term.settleWindow(window);
      this.#recordMissed(window, 'no call was accepted in time');
    }
    for (const window of this.#knownReports.keys()) {
      if (!isWindowGivenUp(window, timing, nowMs)) continue;
      this.#knownReports.delete(window);
      this.#acceptedWindows.delete(window);
      this.#pacing.forgetWindow(window);
    }
    for (const recorded of [this.#lateWindows, this.#missedWindows])
      for (const window of recorded)
        if (window < term.nextWindow - maxRecordedWindows)
          recorded.delete(window);
  }

  /** Returns the reports of the windows that are closed now. */
  #closeWindows(term: UsageTerm): readonly WindowReport[] {
    const { time, timing, source } = this.#options;
    const requestedMs = performance.now() - (this.#firstRequestedAtMs ?? 0);
    if (requestedMs < totalsRequestMs) return [];
    const { closedWindows, givenUpWindows } = planClosing({
      timing,
      nowMs: time.nowMs,
      nextWindow: term.nextWindow,
      isComplete: window => source.isComplete(window),
    });
    for (const window of givenUpWindows) {
      this.#recordMissed(window, 'the store took no row in time');
      term.skipTo(window + 1);
    }
    return closedWindows.map(window => [window, source.sumWindow(window)]);
  }

  #recordLate(window: number, hasRow: boolean): void {
    if (this.#lateWindows.has(window)) return;
    this.#lateWindows.add(window);
    this.#options.metrics.recordWindow('late');
    this.#options.log.writeEvent('usage_late', {
      window,
      attempts: this.#pacing.countAttempts(window),
      reason: hasRow ? 'no call was accepted' : 'the store took no row',
    });
  }

  #recordMissed(window: number, reason: string): void {
    if (this.#missedWindows.has(window)) return;
    this.#missedWindows.add(window);
    this.#options.metrics.recordWindow('missed');
    this.#options.log.writeEvent('usage_late', {
      window,
      attempts: this.#pacing.countAttempts(window),
      reason: `given up: ${reason}`,
    });
  }

  /** Returns the oldest report that may be sent now. */
  #findDueWindow(term: UsageTerm): number | undefined {
    if (term.hasLostReports) return undefined;
    return term
      .listUnsettledWindows()
      .find(window => this.#pacing.mayCall(window));
  }

  async #sendDueReport(term: UsageTerm, holder: DutyHolder): Promise<void> {
    const { client, time, timing } = this.#options;
    const window = this.#findDueWindow(term);
    if (window === undefined) return;
    const counts = term.getCounts(window);
    const result = await client.reportUsage({ window, counts }, holder);
    const outcome = toOutcome(result);
    const isLate = isWindowLate(window, timing, time.nowMs);
    this.#pacing.recordCall(window, outcome, isLate);
    if (outcome !== 'accepted') {
      this.#recordFailure(window, result);
      return;
    }
    term.settleWindow(window);
    this.#acceptedWindows.add(window);
    this.#recordAccepted(window, counts);
  }

  #recordAccepted(window: number, counts: CustomerCounts): void {
    const { log, metrics } = this.#options;
    const numbers = Object.values(counts);
    metrics.recordWindow('accepted');
    this.#lastAcceptedWindow = Math.max(window, this.#lastAcceptedWindow ?? 0);
    log.writeEvent('usage_reported', {
      window,
      customers: numbers.length,
      total: numbers.reduce((sum, count) => sum + count, 0),
      attempts: this.#pacing.countAttempts(window),
    });
  }

  #recordFailure(window: number, result: Either<Failure, DutyResult>): void {
    this.#options.log.writeEvent('duty_call_failed', {
      duty: this.name,
      window,
      attempts: this.#pacing.countAttempts(window),
      outcome: result.caseOf<string>({
        Left: ({ message }) => message,
        Right: value => value,
      }),
    });
  }
}

const toOutcome = (result: Either<Failure, DutyResult>): CallOutcome =>
  result.caseOf<CallOutcome>({
    Left: () => 'unknown',
    Right: value => (value === 'unavailable' ? 'refused' : value),
  });
