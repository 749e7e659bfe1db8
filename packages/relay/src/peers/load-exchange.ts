/**
 * Reports this instance's load on the targets to the other instances and
 * applies the loads that they report.
 */
import { Right } from 'purify-ts';

import type { Kernel, Log } from '@medlarlever/core';

import type { CutOffInstances } from '../forwarding/cut-off-instances.js';
import type { StreamOrigins } from '../origins/stream-origins.js';
import type { PromptSegment } from '../requests/relay-request.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { PromptQuarantine } from '../crashes/prompt-quarantine.js';
import type { CrashTracker } from '../crashes/crash-tracker.js';
import type { PrefillDemand } from '../roles/prefill-demand.js';
import { runGuarded } from '../shared/guarded-step.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import type { TargetLink } from '../targets/target-link.js';
import { zeroLoad } from '../targets/target-state.js';

import type { LimitReports } from './limit-reports.js';
import { PeerLoads } from './peer-loads.js';
import type { TableConfirmation } from '../change-streams/change-stream.js';
import { LoadAggregator } from './load-aggregator.js';
import type { PeerTopology } from './peer-topology.js';
import {
  ageReport,
  dataCenterReportMethod,
  loadReportMethod,
  loadReportSchema,
  memberReportMethod,
} from './load-report.js';
import type { LoadReport } from './load-report.js';
import { OwnLoad } from './own-load.js';
import { applyRequestReports, takeRequestReports } from './request-reports.js';

/** Interval for reporting changed loads; engine load changes on this time scale. */
const reportIntervalMs = 150;

/**
 * Delay before newly started prefills are reported. It is short so that the
 * instances do not all choose an engine that has just become busy. Prefills that
 * start within this time go into one report.
 */
const newWorkBatchMs = 8;

/** Unchanged loads are reported again before they expire at the receivers. */
const maxReportIntervalMs = 600;

/** Timers may end a little early or late; a repetition that is nearly due is sent. */
const repetitionToleranceMs = 20;

/** Dependencies of {@link LoadExchange}. */
export interface LoadExchangeOptions {
  /** Name of this instance. */
  readonly self: string;
  readonly log: Log;
  readonly topology: PeerTopology;
  readonly targets: TargetRegistry;
  readonly crashes: CrashTracker;
  readonly promptQuarantine: PromptQuarantine;
  readonly limits: LimitReports;
  readonly targetLink: TargetLink;
  readonly cutOffInstances: CutOffInstances;
  readonly origins: StreamOrigins;
  readonly services: ServiceStates;
  readonly demand: PrefillDemand;
  /** Tables that this instance has found unchanged, for its members; none by default. */
  readonly hasConfirmations?: () => boolean;
  readonly takeConfirmations?: () => TableConfirmation[];
  /** Called with the tables that the aggregator has found unchanged. */
  readonly onConfirmations?: (
    confirmations: readonly TableConfirmation[],
  ) => void;
  /** Returns the configuration version in force on this instance. */
  readonly getRevision: () => number;
  /** Called when a peer reports a newer configuration version. */
  readonly onNewerRevision: (from: string, revision: number) => void;
}

/** Sends load reports to the peers and merges the reports received from them. */
export class LoadExchange {
  readonly #options: LoadExchangeOptions;
  readonly #peerLoads = new PeerLoads();
  readonly #aggregator: LoadAggregator;
  readonly #ownLoad: OwnLoad;
  #lastSentLoads = '[[],[]]';
  #lastSentAtMs = 0;
  #hasScheduledReport = false;
  #hasNewLoads = false;

  constructor(options: LoadExchangeOptions) {
    this.#options = options;
    options.targets.updateLoadsWith(() => {
      if (this.#hasNewLoads) this.#applyPeerLoads();
    });
    this.#ownLoad = new OwnLoad(options.targets);
    this.#aggregator = new LoadAggregator({
      topology: options.topology,
      log: options.log,
      takeOwnReport: () => this.#takeOwnReport(this.#ownLoad.listLoads()),
      hasConfirmations: options.hasConfirmations ?? (() => false),
      takeConfirmations: options.takeConfirmations ?? (() => []),
    });
  }

  /**
   * Records that a target starts the prefill of the segments, expected to take
   * `expectedMs` milliseconds, and schedules a report.
   */
  recordPrefillStart(
    target: string,
    segments: readonly PromptSegment[],
    expectedMs: number,
  ): void {
    if (segments.length === 0) return;
    this.#ownLoad.recordPrefillStart(target, segments, expectedMs);
    this.scheduleReport();
  }

  /** Schedules a report of what has just begun. Aggregators are told at intervals. */
  scheduleReport(): void {
    if (this.#hasScheduledReport || this.#options.topology.usesAggregators)
      return;
    this.#hasScheduledReport = true;
    setTimeout(() => {
      this.#hasScheduledReport = false;
      this.#runGuarded(() => {
        this.#sendReport();
      });
    }, newWorkBatchMs);
  }

  /**
   * Lists the instances that use this one as their aggregator. The list is empty
   * on most instances.
   */
  listMembers(): readonly string[] {
    return this.#aggregator.listMembers();
  }

  /** True if the member accepts the optional fields of an aggregator's report. */
  acceptsRemote(member: string): boolean {
    return this.#aggregator.acceptsRemote(member);
  }

  /** Registers the peer methods that receive load reports. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(loadReportMethod, params => {
      this.#receiveReport(loadReportSchema.parse(params));
      return Promise.resolve(Right(null));
    });
    kernel.registerPeerMethod(memberReportMethod, params => {
      const report = loadReportSchema.parse(params);
      this.#aggregator.addReport(report);
      this.#receiveReport(report);
      return Promise.resolve(Right(null));
    });
    kernel.registerPeerMethod(dataCenterReportMethod, params => {
      const report = loadReportSchema.parse(params);
      this.#receiveReport(report);
      this.#aggregator.passOnRemoteReport(report);
      return Promise.resolve(Right(null));
    });
  }

  /** Sends reports and applies peer loads until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    void this.#aggregator.run(signal);
    const { activity } = this.#options.targets;
    const pauses = { activeMs: reportIntervalMs, restMs: maxReportIntervalMs };
    while (await activity.pause(pauses, signal)) {
      this.#runGuarded(() => {
        this.#sendReport();
        this.#applyPeerLoads();
      });
    }
  }

  #runGuarded(step: () => void): void {
    runGuarded(this.#options.log, 'load report', step);
  }

  #sendReport(): void {
    const { topology, self } = this.#options;
    const aggregator = topology.usesAggregators
      ? topology.getAggregator()
      : undefined;
    // An aggregator with members includes its own report in the combined report.
    if (aggregator === self && this.listMembers().length > 0) return;
    const loads = this.#ownLoad.listLoads();
    if (!this.#isReportDue(loads, aggregator !== undefined)) return;
    const report = this.#takeOwnReport(loads);
    if (aggregator === undefined || aggregator === self) {
      topology.notifyLinked(loadReportMethod, report);
      return;
    }
    this.#peerLoads.recordOwnReport(aggregator, report);
    topology.recordReportToAggregator(aggregator);
    topology.notifyInstance(aggregator, memberReportMethod, report);
  }

  /** True if another instance's combined report includes the load of this one. */
  get #isAggregatorMember(): boolean {
    const { topology, self } = this.#options;
    return topology.usesAggregators && topology.getAggregator() !== self;
  }

  /**
   * Returns true if a report must be sent now. Changed loads are due at once;
   * unchanged ones after `maxReportIntervalMs`, and members of an aggregator
   * repeat their report then even when they have no load.
   */
  #isReportDue(
    loads: LoadReport['loads'],
    reportsToAggregator: boolean,
  ): boolean {
    const serializedLoads = JSON.stringify([
      loads.map(load => load.slice(0, 3)),
      this.#ownLoad.listHeldTokens(),
    ]);
    const hasChanged =
      serializedLoads !== this.#lastSentLoads ||
      this.#ownLoad.hasUnreportedPrefills ||
      this.#options.limits.hasNews ||
      this.#options.origins.hasUnreported ||
      this.#options.crashes.requests.hasNews ||
      this.#options.promptQuarantine.hasNews;
    const nowMs = performance.now();
    const needsRepetition =
      loads.length > 0 ||
      reportsToAggregator ||
      this.#options.promptQuarantine.causeCount > 0 ||
      this.#options.crashes.requests.refusedCount > 0 ||
      this.#options.targetLink.isCutOff;
    const isOverdue =
      nowMs - this.#lastSentAtMs >= maxReportIntervalMs - repetitionToleranceMs;
    if (!hasChanged && !(needsRepetition && isOverdue)) return false;
    this.#lastSentLoads = serializedLoads;
    this.#lastSentAtMs = nowMs;
    return true;
  }

  #takeOwnReport(loads: LoadReport['loads']): LoadReport {
    const { self, crashes, promptQuarantine, limits, origins } = this.#options;
    const { getRevision, services, demand } = this.#options;
    const prefillTokenTotals = services.listAssignedPrefillTokens();
    if (!this.#isAggregatorMember)
      demand.recordTotals(self, prefillTokenTotals);
    return {
      from: self,
      revision: getRevision(),
      loads,
      held: this.#ownLoad.listHeldTokens(),
      placed: prefillTokenTotals,
      ...this.#ownLoad.takeUnreportedEvents(),
      limits: limits.list(),
      cutOff: this.#options.targetLink.isCutOff ? [self] : [],
      begun: origins.takeUnreported(),
      // Members of an aggregator hear of refused requests and of causes from it.
      ...takeRequestReports(crashes.requests, !this.#isAggregatorMember),
      targetCrashes: promptQuarantine.listCrashes(!this.#isAggregatorMember),
      answeredParts: promptQuarantine.listAnswers(),
      refutedCrashes: promptQuarantine.listRefuted(),
      acceptsRemote: true,
      remote: [],
      unchanged: [],
    };
  }

  #receiveReport(report: LoadReport): void {
    const { targets, crashes, promptQuarantine, limits, origins } =
      this.#options;
    const { topology, demand } = this.#options;
    topology.recordReportFrom(report.from);
    demand.recordTotals(report.from, report.placed);
    this.#peerLoads.recordReport(report);
    for (const [id, , , silentMs] of report.loads) {
      targets.findTarget(id)?.recordActivity(silentMs);
    }
    for (const [id, segments, expectedMs] of report.read) {
      const cachedSegments = segments.map(([segmentId, tokens]) => ({
        id: segmentId,
        tokens,
      }));
      targets
        .findTarget(id)
        ?.prefixCache.addSegments(cachedSegments, expectedMs);
    }
    for (const [id, meanRatio, sampleCount] of report.pace) {
      targets.findTarget(id)?.mergeSlownessSamples({ meanRatio, sampleCount });
    }
    applyRequestReports(crashes.requests, report);
    promptQuarantine.apply({
      crashes: report.targetCrashes,
      answers: report.answeredParts,
      refuted: report.refutedCrashes,
    });
    limits.apply(report.limits);
    this.#options.cutOffInstances.record(report.cutOff);
    origins.apply(report.begun);
    const { getRevision, onNewerRevision } = this.#options;
    if (report.revision > getRevision())
      onNewerRevision(report.from, report.revision);
    this.#options.onConfirmations?.(report.unchanged);
    for (const remote of report.remote) this.#receiveReport(ageReport(remote));
    this.#hasNewLoads = true;
  }

  /**
   * Updates each target with the total load that the other instances report for
   * it.
   */
  #applyPeerLoads(): void {
    this.#hasNewLoads = false;
    const loadsByTarget = this.#peerLoads.sumLoads();
    for (const state of this.#options.targets.listTargets()) {
      state.setOtherInstancesLoad(
        loadsByTarget.get(state.record.id) ?? zeroLoad,
      );
    }
  }
}
