/** Combines the load reports of the instances of one data centre. */
import { sleep } from '@medlarlever/core';

import { MemberReports } from './member-reports.js';
import type { PeerTopology } from './peer-topology.js';
import {
  addEvents,
  createNoEvents,
  dataCenterReportMethod,
  loadReportMethod,
} from './load-report.js';
import type { LoadReport } from './load-report.js';

/** Interval at which an aggregator sends the combined report to its members. */
const publishIntervalMs = 200;
/** The aggregators of other data centres get every n-th combined report. */
const remotePublishInterval = 2;

/** Dependencies of {@link LoadAggregator}. */
export interface LoadAggregatorOptions {
  readonly topology: PeerTopology;
  /** Returns this instance's own report and clears its unreported events. */
  readonly takeOwnReport: () => LoadReport;
}

/**
 * Sums the reports of the members and sends the result to the members and to the
 * aggregators of other data centres.
 */
export class LoadAggregator {
  readonly #options: LoadAggregatorOptions;
  readonly #memberReports = new MemberReports();
  #publishCount = 0;
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

  /**
   * Sends the report to all members. Aggregators alone keep the origins of streams:
   * few callers take one up again, and then the members ask.
   */
  notifyMembers(report: LoadReport): void {
    const { topology } = this.#options;
    const memberReport: LoadReport = { ...report, begun: [] };
    for (const member of this.listMembers()) {
      topology.notifyInstance(member, loadReportMethod, memberReport);
    }
  }

  /**
   * Publishes combined reports at a fixed interval while there are members, until the
   * signal aborts.
   */
  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.listMembers().length > 0) this.#publishReport();
      else await this.#waitForMember(signal);
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
    const { topology, takeOwnReport } = this.#options;
    const report = this.#memberReports.takeCombinedReport(takeOwnReport());
    this.notifyMembers(report);
    addEvents(this.#pendingRemoteEvents, report);
    this.#publishCount += 1;
    if (this.#publishCount % remotePublishInterval !== 0) return;
    for (const aggregator of topology.listRemoteAggregators()) {
      topology.notifyInstance(aggregator, dataCenterReportMethod, {
        ...report,
        ...this.#pendingRemoteEvents,
      });
    }
    this.#pendingRemoteEvents = createNoEvents();
  }
}
