/** The part of an instance that gathers the news of its data centre. */
import { sleep } from '@medlarlever/core';

import { MemberReports } from './member-reports.js';
import type { PeerTopology } from './peer-topology.js';
import { dataCenterReportMethod, loadReportMethod } from './load-report.js';
import type { LoadReport } from './load-report.js';

/** How often a hub tells its members, and after how many times the other hubs. */
const publishIntervalMs = 200;
const remotePublishInterval = 2;

/** What is told once, and gathered until then. */
const createEmptyPendingReport = (): Pick<
  LoadReport,
  'read' | 'pace' | 'crashes'
> => ({
  read: [],
  pace: [],
  crashes: [],
});

export interface LoadAggregatorOptions {
  readonly topology: PeerTopology;
  /** The news of this instance itself, told once. */
  readonly takeOwnReport: () => LoadReport;
}

/** Sums what members report, and tells them and the other hubs. */
export class LoadAggregator {
  readonly #options: LoadAggregatorOptions;
  readonly #memberReports = new MemberReports();
  #publishCount = 0;
  /** News of this data centre that the other hubs have not been told. */
  #pendingRemoteReport = createEmptyPendingReport();

  constructor(options: LoadAggregatorOptions) {
    this.#options = options;
  }

  /** Instances that rely on this one as their hub; most have none. */
  listMembers(): readonly string[] {
    return this.#memberReports.listMembers();
  }

  /** Takes in the report of a member. */
  addReport(news: LoadReport): void {
    this.#memberReports.addReport(news);
  }

  notifyMembers(news: LoadReport): void {
    const { topology } = this.#options;
    for (const member of this.listMembers()) {
      topology.notifyInstance(member, loadReportMethod, news);
    }
  }

  /** Tells what was gathered until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    while (await sleep(publishIntervalMs, signal)) {
      if (this.listMembers().length > 0) this.#publishReport();
    }
  }

  #publishReport(): void {
    const { topology, takeOwnReport: ownNews } = this.#options;
    const news = this.#memberReports.takeCombinedReport(ownNews());
    this.notifyMembers(news);
    this.#pendingRemoteReport.read.push(...news.read);
    this.#pendingRemoteReport.pace.push(...news.pace);
    this.#pendingRemoteReport.crashes.push(...news.crashes);
    this.#publishCount += 1;
    if (this.#publishCount % remotePublishInterval !== 0) return;
    for (const hub of topology.listRemoteAggregators()) {
      topology.notifyInstance(hub, dataCenterReportMethod, {
        ...news,
        ...this.#pendingRemoteReport,
      });
    }
    this.#pendingRemoteReport = createEmptyPendingReport();
  }
}
