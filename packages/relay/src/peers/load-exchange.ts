/** Tells the other instances of own work at the targets, and learns of theirs. */
import { Right } from 'purify-ts';

import { sleep } from '@medlarlever/core';
import type { Kernel } from '@medlarlever/core';

import type { PromptSegment } from '../requests/relay-request.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { CrashTracker } from '../retries/crash-tracker.js';
import type { PrefillDemand } from '../roles/prefill-demand.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import { noLoad } from '../targets/target-state.js';

import { PeerLoads } from './peer-loads.js';
import { LoadAggregator } from './load-aggregator.js';
import type { PeerTopology } from './peer-topology.js';
import {
  dataCenterReportMethod,
  loadReportMethod,
  loadReportSchema,
  memberReportMethod,
} from './load-report.js';
import type { LoadReport } from './load-report.js';
import { OwnLoad } from './own-load.js';

/** How often changed loads are told; engines change within such times. */
const reportIntervalMs = 150;

/**
 * New work is told sooner, so that instances do not all choose the engine that
 * was idle a moment ago. What is placed within this time is told together.
 */
const newWorkBatchMs = 8;

/** Unchanged loads are told again before they are no longer believed. */
const maxReportIntervalMs = 600;

export interface LoadExchangeOptions {
  readonly self: string;
  readonly topology: PeerTopology;
  readonly targets: TargetRegistry;
  readonly crashes: CrashTracker;
  readonly services: ServiceStates;
  readonly demand: PrefillDemand;
  readonly getRevision: () => number;
  /** A neighbour has a newer configuration. */
  readonly onNewerRevision: (from: string, revision: number) => void;
}

export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #peerLoads = new PeerLoads();
  readonly #aggregator: LoadAggregator;
  readonly #ownLoad: OwnLoad;
  #lastSentLoads = '[]';
  #lastSentAtMs = 0;
  #hasScheduledReport = false;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    this.#ownLoad = new OwnLoad(options.targets);
    this.#aggregator = new LoadAggregator({
      topology: options.topology,
      takeOwnReport: () => this.#takeOwnReport(this.#ownLoad.listLoads()),
    });
  }

  /** Notes parts that a target begins to read. */
  recordPrefillStart(
    target: string,
    parts: readonly PromptSegment[],
    expectedMs: number,
  ): void {
    if (parts.length === 0) return;
    this.#ownLoad.recordPrefillStart(target, parts, expectedMs);
    if (this.#hasScheduledReport || this.#options.topology.isLarge) return;
    this.#hasScheduledReport = true;
    setTimeout(() => {
      this.#hasScheduledReport = false;
      this.#sendReport();
    }, newWorkBatchMs);
  }

  /** Instances that rely on this one as their hub; most have none. */
  listMembers(): readonly string[] {
    return this.#aggregator.listMembers();
  }

  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(loadReportMethod, params => {
      this.#receiveReport(loadReportSchema.parse(params));
      return Promise.resolve(Right(null));
    });
    kernel.registerPeerMethod(memberReportMethod, params => {
      const news = loadReportSchema.parse(params);
      this.#aggregator.addReport(news);
      this.#receiveReport(news);
      return Promise.resolve(Right(null));
    });
    kernel.registerPeerMethod(dataCenterReportMethod, params => {
      const news = loadReportSchema.parse(params);
      this.#receiveReport(news);
      this.#aggregator.notifyMembers(news);
      return Promise.resolve(Right(null));
    });
  }

  /** Tells until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    void this.#aggregator.run(signal);
    while (await sleep(reportIntervalMs, signal)) {
      this.#sendReport();
      this.#applyPeerLoads();
    }
  }

  #sendReport(): void {
    const { topology, self } = this.#options;
    const hub = topology.isLarge ? topology.getAggregator() : undefined;
    // What a hub has to tell goes out with what it gathers.
    if (hub === self && this.listMembers().length > 0) return;
    const loads = this.#ownLoad.listLoads();
    if (!this.#isReportDue(loads, hub !== undefined)) return;
    const news = this.#takeOwnReport(loads);
    if (hub === undefined || hub === self) {
      topology.notifyLinked(loadReportMethod, news);
      return;
    }
    this.#peerLoads.recordOwnReportedLoads(hub, loads);
    topology.recordSentToAggregator(hub);
    topology.notifyInstance(hub, memberReportMethod, news);
  }

  /** True when the sums of a hub contain what this instance tells. */
  get #isAggregatorMember(): boolean {
    const { topology, self } = this.#options;
    return topology.isLarge && topology.getAggregator() !== self;
  }

  /** Changes are due at once; members of a hub report when idle as well. */
  #isReportDue(loads: LoadReport['loads'], toHub: boolean): boolean {
    const text = JSON.stringify(loads.map(load => load.slice(0, 3)));
    const changed =
      text !== this.#lastSentLoads ||
      this.#ownLoad.hasUnreportedPrefills ||
      this.#options.crashes.hasUnreportedCrashes;
    const nowMs = performance.now();
    const repeats = loads.length > 0 || toHub;
    const late = nowMs - this.#lastSentAtMs >= maxReportIntervalMs;
    if (!changed && !(repeats && late)) return false;
    this.#lastSentLoads = text;
    this.#lastSentAtMs = nowMs;
    return true;
  }

  #takeOwnReport(loads: LoadReport['loads']): LoadReport {
    const {
      self,
      crashes,
      getRevision: revision,
      services,
      demand,
    } = this.#options;
    const placed = services.listAssignedPrefillTokens();
    if (!this.#isAggregatorMember) demand.recordTotals(self, placed);
    return {
      from: self,
      revision: revision(),
      loads,
      placed,
      ...this.#ownLoad.takeUnreportedEvents(),
      crashes: crashes.takeUnreportedCrashes(),
    };
  }

  #receiveReport(news: LoadReport): void {
    const { targets, crashes, topology, demand } = this.#options;
    topology.recordReceivedFrom(news.from);
    demand.recordTotals(news.from, news.placed);
    this.#peerLoads.recordLoads(news.from, news.loads);
    for (const [id, , , silentMs] of news.loads) {
      targets.findTarget(id)?.recordActivity(silentMs);
    }
    for (const [id, parts, expectedMs] of news.read) {
      const cached = parts.map(([part, tokens]) => ({ id: part, tokens }));
      targets.findTarget(id)?.prefixCache.addSegments(cached, expectedMs);
    }
    for (const [id, ratio, samples] of news.pace) {
      targets
        .findTarget(id)
        ?.mergeSlownessSamples({ meanRatio: ratio, sampleCount: samples });
    }
    for (const [fingerprint, target] of news.crashes) {
      crashes.recordCrash(fingerprint, target);
    }
    const { getRevision: revision, onNewerRevision: onNewer } = this.#options;
    if (news.revision > revision()) onNewer(news.from, news.revision);
    this.#applyPeerLoads();
  }

  /** Sets at each target what the others told. */
  #applyPeerLoads(): void {
    const sums = this.#peerLoads.sumLoads();
    for (const state of this.#options.targets.listTargets()) {
      state.setOtherInstancesLoad(sums.get(state.record.id) ?? noLoad);
    }
  }
}
