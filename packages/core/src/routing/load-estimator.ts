/**
 * Estimates the load of each engine from its last load report, which lags, from
 * the dispatches of this instance since that report, and from the dispatches
 * that peers reported.
 */
import type { LoadReport } from '../target/target.js';

/** Age limits of the inputs of the load estimate, in milliseconds. */
export interface LoadEstimatorOptions {
  /** Maximum assumed age of a report when it arrives. */
  readonly maxReportLagMs?: number;
  /**
   * Milliseconds for which a dispatch reported by a peer counts while no newer
   * load report covers it.
   */
  readonly peerDispatchTtlMs?: number;
  /** Time after its arrival when a report becomes too old for routing. */
  readonly reportTtlMs?: number;
}

/** Size and priority of the work that a dispatch sends to an engine. */
export interface DispatchedWork {
  /** Prompt tokens that the engine is expected to prefill. */
  readonly prefillTokens: number;
  readonly priority: number;
}

/** Callbacks that record the progress of one dispatch of this instance. */
export interface RunningDispatch {
  /** Records that the prefill has ended and only decoding remains. */
  readonly markPrefilled: () => void;
  readonly markEnded: () => void;
}

/** Estimated current load of an engine. */
export interface LoadEstimate {
  readonly report: LoadReport;
  /** Milliseconds since the report arrived at this instance. */
  readonly ageMs: number;
  /** Estimated number of running and queued requests. */
  readonly requests: number;
  /** Prompt tokens that the engine prefills before a new request. */
  readonly prefillTokens: number;
}

interface OwnDispatch extends DispatchedWork {
  readonly startedAtMs: number;
  prefilledAtMs: number;
  endedAtMs: number;
}

interface PeerDispatchBatch {
  readonly receivedAtMs: number;
  readonly requests: number;
  readonly prefillTokens: number;
}

interface EngineLoadState {
  report: LoadReport | undefined;
  arrivedAtMs: number;
  /**
   * The report reflects all starts and ends of dispatches up to this time, in
   * epoch milliseconds of the local clock.
   */
  coveredUntilMs: number;
  readonly ownDispatches: Set<OwnDispatch>;
  peerBatches: PeerDispatchBatch[];
}

/** Combines load reports with the dispatches since them into load estimates. */
export class LoadEstimator {
  readonly #engines = new Map<string, EngineLoadState>();
  readonly #maxReportLagMs: number;
  readonly #peerDispatchTtlMs: number;
  readonly #reportTtlMs: number;

  constructor(options: LoadEstimatorOptions = {}) {
    this.#maxReportLagMs = options.maxReportLagMs ?? 3_000;
    this.#peerDispatchTtlMs = options.peerDispatchTtlMs ?? 3_000;
    this.#reportTtlMs = options.reportTtlMs ?? 30_000;
  }

  /** Stores a load report unless it was made before the stored one. */
  recordReport(engine: string, report: LoadReport): void {
    const load = this.#getState(engine);
    if (load.report !== undefined && report.atMs < load.report.atMs) return;
    const nowMs = Date.now();
    load.report = report;
    load.arrivedAtMs = nowMs;
    load.coveredUntilMs = this.#estimateReportTimeMs(report, nowMs);
    load.peerBatches = load.peerBatches.filter(
      batch => batch.receivedAtMs > load.coveredUntilMs,
    );
    for (const dispatch of load.ownDispatches) {
      if (dispatch.endedAtMs <= load.coveredUntilMs)
        load.ownDispatches.delete(dispatch);
    }
  }

  /**
   * Adds a dispatch of this instance to the load until `markEnded` is called.
   */
  recordDispatch(engine: string, work: DispatchedWork): RunningDispatch {
    const load = this.#getState(engine);
    const dispatch: OwnDispatch = {
      ...work,
      startedAtMs: Date.now(),
      prefilledAtMs: Infinity,
      endedAtMs: Infinity,
    };
    load.ownDispatches.add(dispatch);
    return {
      markPrefilled: () => {
        dispatch.prefilledAtMs = Math.min(dispatch.prefilledAtMs, Date.now());
      },
      markEnded: () => {
        this.#endDispatch(load, dispatch);
      },
    };
  }

  /** Adds the dispatches reported by a peer to the engine's estimated load. */
  recordPeerDispatches(
    engine: string,
    requests: number,
    prefillTokens: number,
  ): void {
    this.#getState(engine).peerBatches.push({
      receivedAtMs: Date.now(),
      requests,
      prefillTokens,
    });
  }

  /**
   * Estimates the load that a request of the given priority would meet. Returns
   * `undefined` if there is no report or the last one is too old.
   */
  estimateLoad(engine: string, priority = 0): LoadEstimate | undefined {
    const load = this.#engines.get(engine);
    const report = this.findRecentReport(engine);
    if (load === undefined || report === undefined) return undefined;
    const nowMs = Date.now();
    this.#expirePeerBatches(load, nowMs);
    return {
      report,
      ageMs: nowMs - load.arrivedAtMs,
      requests: Math.max(0, estimateRequests(load, report)),
      prefillTokens: Math.max(0, estimatePrefillTokens(load, report, priority)),
    };
  }

  /**
   * Returns the last report of the engine unless it is older than the limit.
   */
  findRecentReport(engine: string): LoadReport | undefined {
    const load = this.#engines.get(engine);
    const isUsable =
      load !== undefined && Date.now() - load.arrivedAtMs <= this.#reportTtlMs;
    return isUsable ? load.report : undefined;
  }

  /** Counts the dispatches of this instance that run on the engine. */
  countOwnDispatches(engine: string): number {
    let count = 0;
    for (const dispatch of this.#engines.get(engine)?.ownDispatches ?? []) {
      if (dispatch.endedAtMs === Infinity) count += 1;
    }
    return count;
  }

  /** Removes all state of an engine, for example after it left or restarted. */
  removeEngine(engine: string): void {
    this.#engines.delete(engine);
  }

  #getState(engine: string): EngineLoadState {
    let load = this.#engines.get(engine);
    if (load === undefined) {
      load = {
        report: undefined,
        arrivedAtMs: -Infinity,
        coveredUntilMs: -Infinity,
        ownDispatches: new Set(),
        peerBatches: [],
      };
      this.#engines.set(engine, load);
    }
    return load;
  }

  /**
   * Returns the time of the report on the local clock in epoch milliseconds. A
   * timestamp in the future or older than the maximum lag shows a wrong engine
   * clock; the oldest plausible time replaces it.
   */
  #estimateReportTimeMs(report: LoadReport, nowMs: number): number {
    const oldestMs = nowMs - this.#maxReportLagMs;
    const isPlausible = report.atMs >= oldestMs && report.atMs <= nowMs;
    return isPlausible ? report.atMs : oldestMs;
  }

  /**
   * Counts the dispatches of this instance on the engine that have not ended.
   */
  countRunningDispatches(engine: string): number {
    const dispatches = this.#engines.get(engine)?.ownDispatches ?? [];
    return [...dispatches].filter(({ endedAtMs }) => endedAtMs === Infinity)
      .length;
  }

  #endDispatch(load: EngineLoadState, dispatch: OwnDispatch): void {
    if (dispatch.endedAtMs !== Infinity) return;
    dispatch.endedAtMs = Date.now();
    dispatch.prefilledAtMs = Math.min(
      dispatch.prefilledAtMs,
      dispatch.endedAtMs,
    );
    // Keep the ended dispatch until a report covers its end, because an older
    // report may still include it.
    const oldestMs = dispatch.endedAtMs - this.#reportTtlMs;
    for (const earlierDispatch of load.ownDispatches) {
      if (earlierDispatch.endedAtMs > oldestMs) break;
      load.ownDispatches.delete(earlierDispatch);
    }
  }

  #expirePeerBatches(load: EngineLoadState, nowMs: number): void {
    if (load.peerBatches.length === 0) return;
    const oldestMs = nowMs - this.#peerDispatchTtlMs;
    load.peerBatches = load.peerBatches.filter(
      batch => batch.receivedAtMs > oldestMs,
    );
  }
}

/**
 * Returns the number of reported requests, minus the dispatches of this
 * instance that ended after the report, plus all dispatches sent after it.
 */
const estimateRequests = (
  load: EngineLoadState,
  report: LoadReport,
): number => {
  let requests = report.running + report.queued;
  for (const dispatch of load.ownDispatches) {
    const isReported = dispatch.startedAtMs <= load.coveredUntilMs;
    const hasEnded = dispatch.endedAtMs !== Infinity;
    if (isReported && hasEnded) requests -= 1;
    if (!isReported && !hasEnded) requests += 1;
  }
  for (const batch of load.peerBatches) requests += batch.requests;
  return requests;
};

/**
 * Estimates the prompt tokens that the engine prefills before a request of the
 * given priority.
 */
const estimatePrefillTokens = (
  load: EngineLoadState,
  report: LoadReport,
  priority: number,
): number => {
  let tokens = report.prefillTokens;
  for (const dispatch of load.ownDispatches) {
    const isReported = dispatch.startedAtMs <= load.coveredUntilMs;
    const awaitsPrefill = dispatch.prefilledAtMs === Infinity;
    if (!isReported && awaitsPrefill && dispatch.priority >= priority) {
      tokens += dispatch.prefillTokens;
    }
    if (
      isReported &&
      dispatch.prefilledAtMs > load.coveredUntilMs &&
      !awaitsPrefill
    ) {
      tokens -= dispatch.prefillTokens;
    }
  }
  for (const batch of load.peerBatches) tokens += batch.prefillTokens;
  return tokens;
};
