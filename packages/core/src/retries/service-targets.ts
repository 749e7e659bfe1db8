/**
 * Chooses targets of plain services and tracks the calls of this instance in
 * flight at each target.
 */
import { Just, Nothing } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';

import type {
  TargetEntry,
  TargetDirectory,
} from '../membership/target-directory.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import type { Service } from '../target/target.js';

import { TargetCircuitBreaker } from './target-circuit-breaker.js';

/** Conditions that a target must meet to be chosen. */
export interface TargetQuery {
  readonly service: string;
  /**
   * Names of targets that must not be chosen because they were already tried.
   */
  readonly excludedTargets: ReadonlySet<string>;
  /**
   * True to choose only targets with a closed circuit, for calls that may not
   * be repeated.
   */
  readonly needsClosedCircuit: boolean;
}

export interface ServiceTargetsOptions {
  readonly directory: TargetDirectory;
  readonly quarantine: Quarantine;
  readonly log: Log;
  readonly random: () => number;
  /** Maximum number of calls of this instance in flight at one target. */
  readonly maxInFlight?: number;
}

/**
 * A target with its circuit breaker and the calls of this instance in flight.
 */
export interface ServiceTarget {
  readonly service: Service;
  readonly breaker: TargetCircuitBreaker;
  /** Fingerprints of the calls in flight, by call id. */
  readonly inFlightFingerprints: Map<string, string>;
}

const defaultMaxInFlight = 64;

const createTargetKey = ({ name, incarnation }: Service): string =>
  `${name}#${incarnation}`;

/**
 * Chooses among the usable targets in the directory and keeps their circuit
 * breakers.
 */
export class ServiceTargets {
  readonly #options: ServiceTargetsOptions;
  readonly #maxInFlight: number;
  readonly #targets = new Map<string, ServiceTarget>();

  constructor(options: ServiceTargetsOptions) {
    this.#options = options;
    this.#maxInFlight = options.maxInFlight ?? defaultMaxInFlight;
  }

  /**
   * Chooses the target with fewer calls in flight of two random targets, in
   * this data centre if it has a usable target.
   */
  chooseTarget(query: TargetQuery): Maybe<ServiceTarget> {
    if (query.needsClosedCircuit) this.#probeOpenCircuits(query.service);
    const entries = this.#listUsable(query);
    const localEntries = entries.filter(entry => entry.isLocal);
    const candidates = localEntries.length > 0 ? localEntries : entries;
    return this.#chooseLessBusy(
      candidates.map(entry => this.#getTarget(entry.target)),
    );
  }

  /**
   * Chooses the target with the fewest calls in flight, for an isolated run.
   */
  chooseLeastBusy(query: TargetQuery): Maybe<ServiceTarget> {
    const targets = this.#listUsable(query).map(({ target }) =>
      this.#getTarget(target),
    );
    targets.sort(
      (a, b) => a.inFlightFingerprints.size - b.inFlightFingerprints.size,
    );
    return this.#getFirst(targets);
  }

  /** Finds a target by name if it meets the conditions of the query. */
  findTarget(name: string, query: TargetQuery): Maybe<ServiceTarget> {
    const entries = this.#listUsable(query);
    const entry = entries.find(({ target }) => target.name === name);
    return entry === undefined ? Nothing : Just(this.#getTarget(entry.target));
  }

  /** Returns true if the target is leaving or not in the directory. */
  isUnavailable(name: string): boolean {
    return this.#options.directory
      .findTarget(name)
      .map(({ isLeaving }) => isLeaving)
      .orDefault(true);
  }

  /**
   * Counts the calls of this instance in flight at the target, over all its
   * incarnations.
   */
  countInFlight(name: string): number {
    return [...this.#targets.values()]
      .filter(({ service }) => service.name === name)
      .reduce(
        (sum, { inFlightFingerprints }) => sum + inFlightFingerprints.size,
        0,
      );
  }

  /** Returns true if the directory lists another incarnation of the target. */
  isReplaced(service: Service): boolean {
    return this.#options.directory
      .findTarget(service.name)
      .map(entry => entry.target.incarnation !== service.incarnation)
      .orDefault(false);
  }

  /**
   * Returns the milliseconds until some target of the service may be tried
   * again, between 500 ms and 30 s.
   */
  getRetryAfterMs(service: string): number {
    const retryTimesMs = this.#options.directory
      .listServices(service)
      .map(({ target }) => this.#getTarget(target).breaker.retryAfterMs);
    return Math.ceil(
      Math.max(minRetryAfterMs, Math.min(...retryTimesMs, maxRetryAfterMs)),
    );
  }

  #listUsable({ service, excludedTargets, needsClosedCircuit }: TargetQuery) {
    this.#removeStaleTargets();
    const { directory, quarantine } = this.#options;
    const isEligible = ({ target, isLeaving }: TargetEntry<Service>) =>
      !isLeaving &&
      !excludedTargets.has(target.name) &&
      !quarantine.isReserved(target.name);
    const hasCapacity = ({ target }: TargetEntry<Service>) => {
      const { breaker, inFlightFingerprints } = this.#getTarget(target);
      const allowsCall =
        breaker.isClosed || (!needsClosedCircuit && breaker.canProbe);
      return allowsCall && inFlightFingerprints.size < this.#maxInFlight;
    };
    return directory
      .listServices(service)
      .filter(isEligible)
      .filter(hasCapacity);
  }

  /**
   * Starts a health probe of each target whose open period has ended. Calls
   * that need a closed circuit cannot probe these targets themselves.
   */
  #probeOpenCircuits(service: string): void {
    for (const { target } of this.#options.directory.listServices(service)) {
      const { breaker } = this.#getTarget(target);
      if (!breaker.canProbe) continue;
      void breaker.runCall(() => probeTarget(target));
    }
  }

  #chooseLessBusy(targets: readonly ServiceTarget[]): Maybe<ServiceTarget> {
    const first = this.#pickRandom(targets);
    const second = this.#pickRandom(targets.filter(target => target !== first));
    if (first === undefined) return Nothing;
    if (second === undefined) return Just(first);
    return Just(
      first.inFlightFingerprints.size <= second.inFlightFingerprints.size
        ? first
        : second,
    );
  }

  #pickRandom(targets: readonly ServiceTarget[]): ServiceTarget | undefined {
    return targets[Math.floor(this.#options.random() * targets.length)];
  }

  #getFirst(targets: readonly ServiceTarget[]): Maybe<ServiceTarget> {
    const target = targets[0];
    return target === undefined ? Nothing : Just(target);
  }

  #getTarget(service: Service): ServiceTarget {
    const key = createTargetKey(service);
    const existing = this.#targets.get(key);
    if (existing !== undefined) return existing;
    const { log, random } = this.#options;
    const fields = { target: service.name, service: service.service };
    const breaker = new TargetCircuitBreaker({
      random,
      onOpen: () => {
        log.writeEvent('target_opened', fields);
      },
      onClose: () => {
        log.writeEvent('target_closed', fields);
      },
    });
    const target = {
      service,
      breaker,
      inFlightFingerprints: new Map<string, string>(),
    };
    this.#targets.set(key, target);
    return target;
  }

  /**
   * Removes the state of targets that were replaced by another incarnation and
   * have no calls in flight.
   */
  #removeStaleTargets(): void {
    if (this.#targets.size < staleTargetThreshold) return;
    for (const [key, { service, inFlightFingerprints }] of this.#targets) {
      if (inFlightFingerprints.size === 0 && this.isReplaced(service)) {
        this.#targets.delete(key);
      }
    }
  }
}

const probeTarget = async (target: Service): Promise<Either<Failure, void>> => {
  const result = await target.probeHealth(probeTimeoutMs);
  return result.mapLeft(({ message }) => new Failure('target_failed', message));
};

const probeTimeoutMs = 1_000;
const minRetryAfterMs = 500;
const maxRetryAfterMs = 30_000;
/**
 * Number of known targets above which the state of replaced targets is removed.
 */
const staleTargetThreshold = 64;
