/**
 * What is known of each engine's load: its last, lagging report, this
 * instance's own dispatches since then, and what peers told of theirs.
 */
import type { LoadReport } from '../target/target.js';

export interface LoadBookOptions {
  /** A report is taken to be at most this old when it arrives. */
  readonly maxLagMs?: number;
  /** How long a peer's dispatch counts when no newer report covers it. */
  readonly peerTtlMs?: number;
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
export interface Dispatch {
  /** The prefill has ended: only decoding remains. */
  readonly prefilled: () => void;
  readonly end: () => void;
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
  readonly atMs: number;
  prefilledAtMs: number;
  endedAtMs: number;
}

interface PeerDispatches {
  readonly atMs: number;
  readonly requests: number;
  readonly prefillTokens: number;
}

interface EngineLoad {
  report: LoadReport | undefined;
  arrivedAtMs: number;
  /** The report covers what happened before this, on the local clock. */
  coversMs: number;
  readonly own: Set<OwnDispatch>;
  peers: PeerDispatches[];
}

export class LoadBook {
  readonly #engines = new Map<string, EngineLoad>();
  readonly #maxLagMs: number;
  readonly #peerTtlMs: number;
  readonly #reportTtlMs: number;

  constructor(options: LoadBookOptions = {}) {
    this.#maxLagMs = options.maxLagMs ?? 3_000;
    this.#peerTtlMs = options.peerTtlMs ?? 3_000;
    this.#reportTtlMs = options.reportTtlMs ?? 30_000;
  }

  /** Takes a report; one made before the last known one is ignored. */
  reported(engine: string, report: LoadReport): void {
    const load = this.#load(engine);
    if (load.report !== undefined && report.atMs < load.report.atMs) return;
    const now = Date.now();
    load.report = report;
    load.arrivedAtMs = now;
    load.coversMs = this.#madeAtMs(report, now);
    load.peers = load.peers.filter(entry => entry.atMs > load.coversMs);
    for (const dispatch of load.own) {
      if (dispatch.endedAtMs <= load.coversMs) load.own.delete(dispatch);
    }
  }

  /** Counts an own dispatch until its end. */
  dispatched(engine: string, work: DispatchedWork): Dispatch {
    const load = this.#load(engine);
    const dispatch: OwnDispatch = {
      ...work,
      atMs: Date.now(),
      prefilledAtMs: Infinity,
      endedAtMs: Infinity,
    };
    load.own.add(dispatch);
    return {
      prefilled: () => {
        dispatch.prefilledAtMs = Math.min(dispatch.prefilledAtMs, Date.now());
      },
      end: () => {
        this.#end(load, dispatch);
      },
    };
  }

  /** Counts dispatches of which a peer told. */
  peerDispatched(engine: string, requests: number, tokens: number): void {
    this.#load(engine).peers.push({
      atMs: Date.now(),
      requests,
      prefillTokens: tokens,
    });
  }

  /** `undefined` while no usable report is known. */
  estimate(engine: string, priority = 0): LoadEstimate | undefined {
    const load = this.#engines.get(engine);
    const report = this.report(engine);
    if (load === undefined || report === undefined) return undefined;
    const now = Date.now();
    this.#expirePeers(load, now);
    return {
      report,
      ageMs: now - load.arrivedAtMs,
      requests: Math.max(0, requestsOf(load, report)),
      prefillTokens: Math.max(0, prefillOf(load, report, priority)),
    };
  }

  /** The last report, if it is recent enough for a decision. */
  report(engine: string): LoadReport | undefined {
    const load = this.#engines.get(engine);
    const usable =
      load !== undefined && Date.now() - load.arrivedAtMs <= this.#reportTtlMs;
    return usable ? load.report : undefined;
  }

  /** Own dispatches running on the engine. */
  ownRunning(engine: string): number {
    let running = 0;
    for (const dispatch of this.#engines.get(engine)?.own ?? []) {
      if (dispatch.endedAtMs === Infinity) running += 1;
    }
    return running;
  }

  /** Forgets an engine that left or restarted. */
  forget(engine: string): void {
    this.#engines.delete(engine);
  }

  #load(engine: string): EngineLoad {
    let load = this.#engines.get(engine);
    if (load === undefined) {
      load = {
        report: undefined,
        arrivedAtMs: -Infinity,
        coversMs: -Infinity,
        own: new Set(),
        peers: [],
      };
      this.#engines.set(engine, load);
    }
    return load;
  }

  /** An engine's clock that is off by more than the lag is not believed. */
  #madeAtMs(report: LoadReport, now: number): number {
    const oldest = now - this.#maxLagMs;
    const plausible = report.atMs >= oldest && report.atMs <= now;
    return plausible ? report.atMs : oldest;
  }

  /** Own dispatches that have not ended. */
  running(engine: string): number {
    const own = this.#engines.get(engine)?.own ?? [];
    return [...own].filter(({ endedAtMs }) => endedAtMs === Infinity).length;
  }

  #end(load: EngineLoad, dispatch: OwnDispatch): void {
    if (dispatch.endedAtMs !== Infinity) return;
    dispatch.endedAtMs = Date.now();
    dispatch.prefilledAtMs = Math.min(
      dispatch.prefilledAtMs,
      dispatch.endedAtMs,
    );
    // It stays until a report covers its end: an older one may count it.
    const oldest = dispatch.endedAtMs - this.#reportTtlMs;
    for (const earlier of load.own) {
      if (earlier.endedAtMs > oldest) break;
      load.own.delete(earlier);
    }
  }

  #expirePeers(load: EngineLoad, now: number): void {
    if (load.peers.length === 0) return;
    const oldest = now - this.#peerTtlMs;
    load.peers = load.peers.filter(entry => entry.atMs > oldest);
  }
}

/** Reported requests, less own ones ended since, plus ones sent since. */
const requestsOf = (load: EngineLoad, report: LoadReport): number => {
  let requests = report.running + report.queued;
  for (const dispatch of load.own) {
    const reported = dispatch.atMs <= load.coversMs;
    const ended = dispatch.endedAtMs !== Infinity;
    if (reported && ended) requests -= 1;
    if (!reported && !ended) requests += 1;
  }
  for (const entry of load.peers) requests += entry.requests;
  return requests;
};

/** Prompt tokens ahead of a request of the given priority. */
const prefillOf = (
  load: EngineLoad,
  report: LoadReport,
  priority: number,
): number => {
  let tokens = report.prefillTokens;
  for (const dispatch of load.own) {
    const reported = dispatch.atMs <= load.coversMs;
    const waiting = dispatch.prefilledAtMs === Infinity;
    if (!reported && waiting && dispatch.priority >= priority) {
      tokens += dispatch.prefillTokens;
    }
    if (reported && dispatch.prefilledAtMs > load.coversMs && !waiting) {
      tokens -= dispatch.prefillTokens;
    }
  }
  for (const entry of load.peers) tokens += entry.prefillTokens;
  return tokens;
};
