/** Combines the load reports of the instances of one data centre. */
import { sleep } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import { runGuarded } from '../shared/guarded-step.js';

import type { TableConfirmation } from '../change-streams/change-stream.js';

import { MemberReports } from './member-reports.js';
import type { PeerTopology } from './peer-topology.js';
import {
  addEvents,
  createNoEvents,
  dataCenterReportMethod,
  hasContent,
  loadReportMethod,
} from './load-report.js';
import type { LoadReport } from './load-report.js';

/** Interval at which an aggregator sends the combined report to its members. */
const publishIntervalMs = 200;
/** Interval while the combined report would say nothing. */
const emptyPublishIntervalMs = 400;
/** Timers may end a little early; a report that is nearly due is sent. */
const publishToleranceMs = 20;
/** The aggregators of other data centres get every n-th combined report. */
const remotePublishInterval = 2;

/** Dependencies of {@link LoadAggregator}. */
export interface LoadAggregatorOptions {
  readonly topology: PeerTopology;
  readonly log: Log;
  /** Returns this instance's own report and clears its unreported events. */
  readonly takeOwnReport: () => LoadReport;
  /** True if a table has been found unchanged since the last call of the function below. */
  readonly hasConfirmations: () => boolean;
  /** Returns which tables have been found unchanged since the last call. */
  readonly takeConfirmations: () => TableConfirmation[];
}

/** A report of another data centre that members have not got yet. */
interface PendingRemoteReport {
  readonly report: LoadReport;
  /** Time of its arrival, on the monotonic clock. */
  readonly receivedAtMs: number;
}

/**
 * Sums the reports of the members and sends the result to the members and to the
 * aggregators of other data centres.
 */
export class LoadAggregator {
  readonly #options: LoadAggregatorOptions;
  readonly #memberReports = new MemberReports();
  #publishCount = 0;
  #lastPublishMs = -Infinity;
  #pendingRemoteReports: PendingRemoteReport[] = [];
  /** Ends the wait for a member. */
  #onFirstMember: (() => void) | undefined;
  /** Events of this data centre not yet sent to the other aggregators. */
  #pendingRemoteEvents = createNoEvents();

  constructor(options: LoadAggregatorOptions) {
    this.#options = options;
  }

  /**
   * Lists the instances that use this one as their aggregator. The list is empty
   * on most instances.
   */
  listMembers(): readonly string[] {
    return this.#memberReports.listMembers();
  }

  /** Records the report of a member. */
  addReport(report: LoadReport): void {
    this.#memberReports.addReport(report);
    this.#onFirstMember?.();
  }

  /** True if the member accepts the optional fields of an aggregator's report. */
  acceptsRemote(member: string): boolean {
    return this.#memberReports.acceptsRemote(member);
  }

  /**
   * Passes a report of another data centre on: with the next combined report, or at
   * once to members that don't accept it there.
   */
  passOnRemoteReport(report: LoadReport): void {
    // Second candidates get the reports as well, and have nobody to tell.
    if (this.listMembers().length === 0) return;
    const receivedAtMs = performance.now();
    this.#pendingRemoteReports.push({ report, receivedAtMs });
    this.#notifyMembers(report, member => !this.acceptsRemote(member));
  }

  /**
   * Sends the report to members. Aggregators alone keep the origins of streams: few
   * callers take one up again, and then the members ask.
   */
  #notifyMembers(
    report: LoadReport,
    isReceiver: (member: string) => boolean,
  ): void {
    const { topology } = this.#options;
    const memberReport: LoadReport = { ...report, begun: [] };
    for (const member of this.listMembers()) {
      if (isReceiver(member))
        topology.notifyInstance(member, loadReportMethod, memberReport);
    }
  }

  /**
   * Publishes combined reports at a fixed interval while there are members, until the
   * signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.listMembers().length > 0) {
        runGuarded(this.#options.log, 'combined load report', () => {
          this.#publishReport();
        });
      } else {
        this.#pendingRemoteReports = [];
        await this.#waitForMember(signal);
      }
      await sleep(publishIntervalMs, signal);
    }
  }

  #waitForMember(signal: AbortSignal): Promise<void> {
    return new Promise(resolve => {
      const end = () => {
        this.#onFirstMember = undefined;
        signal.removeEventListener('abort', end);
        resolve();
      };
      this.#onFirstMember = end;
      signal.addEventListener('abort', end, { once: true });
    });
  }

  #publishReport(): void {
    const { topology, takeOwnReport, hasConfirmations, takeConfirmations } =
      this.#options;
    const report = this.#memberReports.takeCombinedReport(takeOwnReport());
    const nowMs = performance.now();
    const remote = this.#pendingRemoteReports.map(
      ({ report: remoteReport, receivedAtMs }) => ({
        ...remoteReport,
        begun: [],
        waitedMs: Math.round(nowMs - receivedAtMs),
      }),
    );
    // Members query the platform themselves if a confirmation comes late.
    const isDue =
      hasConfirmations() ||
      nowMs - this.#lastPublishMs >=
        emptyPublishIntervalMs - publishToleranceMs;
    // A report without content has no events that would be lost here.
    if (!isDue && !hasContent({ ...report, remote })) return;
    this.#lastPublishMs = nowMs;
    this.#pendingRemoteReports = [];
    const unchanged = takeConfirmations();
    this.#notifyMembers({ ...report, remote, unchanged }, member =>
      this.acceptsRemote(member),
    );
    this.#notifyMembers(report, member => !this.acceptsRemote(member));
    addEvents(this.#pendingRemoteEvents, report);
    this.#publishCount += 1;
    if (this.#publishCount % remotePublishInterval !== 0) return;
    const remoteMessage = { ...report, ...this.#pendingRemoteEvents };
    for (const aggregator of topology.listRemoteAggregators())
      topology.notifyInstance(
        aggregator,
        dataCenterReportMethod,
        remoteMessage,
      );
    this.#pendingRemoteEvents = createNoEvents();
  }
}
