/**
 * What is known of each engine's load: its last, lagging report, this
 * instance's own dispatches since then, and what peers told of theirs.
 */
import type { LoadReport } from '../target/target.js';

export interface LoadEstimatorOptions {
  /** A report is taken to be at most this old when it arrives. */
  readonly maxReportLagMs?: number;
  /** How long a peer's dispatch counts when no newer report covers it. */
  readonly peerDispatchTtlMs?: number;
  /** A report older than this is no base for a decision. */
  readonly reportTtlMs?: number;
}

/** Work sent to an engine. */
export interface DispatchedWork {
  /** Prompt tokens that the engine is expected to prefill. */
  readonly prefillTokens: number;
  readonly priority: number;
}

/** A running dispatch of this instance. */
export interface RunningDispatch {
  /** The prefill has ended: only decoding remains. */
  readonly markPrefilled: () => void;
  readonly markEnded: () => void;
}

/** Load of an engine as estimated now. */
export interface LoadEstimate {
  readonly report: LoadReport;
  /** Time since the report arrived. */
  readonly ageMs: number;
  /** Running and queued requests. */
  readonly requests: number;
  /** Prompt tokens ahead of a new request. */
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
  /** The report covers what happened before this, on the local clock. */
  coveredUntilMs: number;
  readonly ownDispatches: Set<OwnDispatch>;
  peerBatches: PeerDispatchBatch[];
}

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

  /** Takes a report; one made before the last known one is ignored. */
  recordReport(engine: string, report: LoadReport): void {
    const load = this.#getState(engine);
    if (load.report !== undefined && report.atMs < load.report.atMs) return;
    const now = Date.now();
    load.report = report;
    load.arrivedAtMs = now;
    load.coveredUntilMs = this.#estimateReportTimeMs(report, now);
    load.peerBatches = load.peerBatches.filter(
      entry => entry.receivedAtMs > load.coveredUntilMs,
    );
    for (const dispatch of load.ownDispatches) {
      if (dispatch.endedAtMs <= load.coveredUntilMs)
        load.ownDispatches.delete(dispatch);
    }
  }

  /** Counts an own dispatch until its end. */
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

  /** Counts dispatches of which a peer told. */
  recordPeerDispatches(engine: string, requests: number, tokens: number): void {
    this.#getState(engine).peerBatches.push({
      receivedAtMs: Date.now(),
      requests,
      prefillTokens: tokens,
    });
  }

  /** `undefined` while no usable report is known. */
  estimateLoad(engine: string, priority = 0): LoadEstimate | undefined {
    const load = this.#engines.get(engine);
    const report = this.findRecentReport(engine);
    if (load === undefined || report === undefined) return undefined;
    const now = Date.now();
    this.#expirePeerBatches(load, now);
    return {
      report,
      ageMs: now - load.arrivedAtMs,
      requests: Math.max(0, estimateRequests(load, report)),
      prefillTokens: Math.max(0, estimatePrefillTokens(load, report, priority)),
    };
  }

  /** The last report, if it is recent enough for a decision. */
  findRecentReport(engine: string): LoadReport | undefined {
    const load = this.#engines.get(engine);
    const usable =
      load !== undefined && Date.now() - load.arrivedAtMs <= this.#reportTtlMs;
    return usable ? load.report : undefined;
  }

  /** Own dispatches running on the engine. */
  countOwnDispatches(engine: string): number {
    let running = 0;
    for (const dispatch of this.#engines.get(engine)?.ownDispatches ?? []) {
      if (dispatch.endedAtMs === Infinity) running += 1;
    }
    return running;
  }

  /** Forgets an engine that left or restarted. */
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

  /** An engine's clock that is off by more than the lag is not believed. */
  #estimateReportTimeMs(report: LoadReport, now: number): number {
    const oldest = now - this.#maxReportLagMs;
    const plausible = report.atMs >= oldest && report.atMs <= now;
    return plausible ? report.atMs : oldest;
  }

  /** Own dispatches that have not ended. */
  countRunningDispatches(engine: string): number {
    const own = this.#engines.get(engine)?.ownDispatches ?? [];
    return [...own].filter(({ endedAtMs }) => endedAtMs === Infinity).length;
  }

  #endDispatch(load: EngineLoadState, dispatch: OwnDispatch): void {
    if (dispatch.endedAtMs !== Infinity) return;
    dispatch.endedAtMs = Date.now();
    dispatch.prefilledAtMs = Math.min(
      dispatch.prefilledAtMs,
      dispatch.endedAtMs,
    );
    // It stays until a report covers its end: an older one may count it.
    const oldest = dispatch.endedAtMs - this.#reportTtlMs;
    for (const earlier of load.ownDispatches) {
      if (earlier.endedAtMs > oldest) break;
      load.ownDispatches.delete(earlier);
    }
  }

  #expirePeerBatches(load: EngineLoadState, now: number): void {
    if (load.peerBatches.length === 0) return;
    const oldest = now - this.#peerDispatchTtlMs;
    load.peerBatches = load.peerBatches.filter(
      entry => entry.receivedAtMs > oldest,
    );
  }
}

/** Reported requests, less own ones ended since, plus ones sent since. */
const estimateRequests = (
  load: EngineLoadState,
  report: LoadReport,
): number => {
  let requests = report.running + report.queued;
  for (const dispatch of load.ownDispatches) {
    const reported = dispatch.startedAtMs <= load.coveredUntilMs;
    const ended = dispatch.endedAtMs !== Infinity;
    if (reported && ended) requests -= 1;
    if (!reported && !ended) requests += 1;
  }
  for (const entry of load.peerBatches) requests += entry.requests;
  return requests;
};

/** Prompt tokens ahead of a request of the given priority. */
const estimatePrefillTokens = (
  load: EngineLoadState,
  report: LoadReport,
  priority: number,
): number => {
  let tokens = report.prefillTokens;
  for (const dispatch of load.ownDispatches) {
    const reported = dispatch.startedAtMs <= load.coveredUntilMs;
    const waiting = dispatch.prefilledAtMs === Infinity;
    if (!reported && waiting && dispatch.priority >= priority) {
      tokens += dispatch.prefillTokens;
    }
    if (reported && dispatch.prefilledAtMs > load.coveredUntilMs && !waiting) {
      tokens -= dispatch.prefillTokens;
    }
  }
  for (const entry of load.peerBatches) tokens += entry.prefillTokens;
  return tokens;
};
