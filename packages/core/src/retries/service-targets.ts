/** Chooses targets of plain services and counts what runs there. */
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

/** Which targets of a service will do. */
export interface TargetQuery {
  readonly service: string;
  /** Names of targets that were tried already. */
  readonly excludedTargets: ReadonlySet<string>;
  /** Only targets whose circuit is closed: for what may not be repeated. */
  readonly needsClosedCircuit: boolean;
}

export interface ServiceTargetsOptions {
  readonly directory: TargetDirectory;
  readonly quarantine: Quarantine;
  readonly log: Log;
  readonly random: () => number;
  /** Calls of this instance running at one target at once. */
  readonly maxInFlight?: number;
}

/** A target with the circuit breaker and the calls of this instance. */
export interface ServiceTarget {
  readonly service: Service;
  readonly breaker: TargetCircuitBreaker;
  /** Fingerprints of the calls in flight, by request id. */
  readonly inFlightFingerprints: Map<string, string>;
}

const defaultMaxInFlight = 64;

const createTargetKey = ({ name, incarnation }: Service): string =>
  `${name}#${incarnation}`;

export class ServiceTargets {
  readonly #options: ServiceTargetsOptions;
  readonly #maxInFlight: number;
  readonly #targets = new Map<string, ServiceTarget>();

  constructor(options: ServiceTargetsOptions) {
    this.#options = options;
    this.#maxInFlight = options.maxInFlight ?? defaultMaxInFlight;
  }

  /** The less busy of two, in this data centre if it has any. */
  chooseTarget(choice: TargetQuery): Maybe<ServiceTarget> {
    if (choice.needsClosedCircuit) this.#probeOpenCircuits(choice.service);
    const entries = this.#listUsable(choice);
    const local = entries.filter(entry => entry.isLocal);
    const pool = local.length > 0 ? local : entries;
    return this.#chooseLessBusy(
      pool.map(entry => this.#getTarget(entry.target)),
    );
  }

  /** The least busy target, for a run apart from all others. */
  chooseLeastBusy(choice: TargetQuery): Maybe<ServiceTarget> {
    const targets = this.#listUsable(choice).map(({ target }) =>
      this.#getTarget(target),
    );
    targets.sort(
      (a, b) => a.inFlightFingerprints.size - b.inFlightFingerprints.size,
    );
    return this.#getFirst(targets);
  }

  /** A target by name, if it takes new work. */
  findTarget(name: string, choice: TargetQuery): Maybe<ServiceTarget> {
    const entries = this.#listUsable(choice);
    const entry = entries.find(({ target }) => target.name === name);
    return entry === undefined ? Nothing : Just(this.#getTarget(entry.target));
  }

  /** True when the target takes no new work. */
  isUnavailable(name: string): boolean {
    return this.#options.directory
      .findTarget(name)
      .map(({ isLeaving: leaving }) => leaving)
      .orDefault(true);
  }

  /** Calls of this instance that run on the target. */
  countInFlight(name: string): number {
    return [...this.#targets.values()]
      .filter(({ service }) => service.name === name)
      .reduce(
        (sum, { inFlightFingerprints: inFlight }) => sum + inFlight.size,
        0,
      );
  }

  /** True when the directory holds another incarnation of the target. */
  isReplaced(service: Service): boolean {
    return this.#options.directory
      .findTarget(service.name)
      .map(entry => entry.target.incarnation !== service.incarnation)
      .orDefault(false);
  }

  /** Milliseconds until some target of the service may be tried again. */
  getRetryAfterMs(service: string): number {
    const waits = this.#options.directory
      .listServices(service)
      .map(({ target }) => this.#getTarget(target).breaker.retryAfterMs);
    return Math.ceil(
      Math.max(minRetryAfterMs, Math.min(...waits, maxRetryAfterMs)),
    );
  }

  #listUsable({
    service,
    excludedTargets: exclude,
    needsClosedCircuit: proven,
  }: TargetQuery) {
    this.#removeStaleTargets();
    const { directory, quarantine } = this.#options;
    const open = ({ target, isLeaving: leaving }: TargetEntry<Service>) =>
      !leaving &&
      !exclude.has(target.name) &&
      !quarantine.isReserved(target.name);
    const ready = ({ target }: TargetEntry<Service>) => {
      const { breaker, inFlightFingerprints: inFlight } =
        this.#getTarget(target);
      const passing = breaker.isClosed || (!proven && breaker.canProbe);
      return passing && inFlight.size < this.#maxInFlight;
    };
    return directory.listServices(service).filter(open).filter(ready);
  }

  /** Probes targets whose open period is over, where no call may try them. */
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
    const known = this.#targets.get(key);
    if (known !== undefined) return known;
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

  /** Drops the state of incarnations that the directory no longer has. */
  #removeStaleTargets(): void {
    if (this.#targets.size < staleTargetThreshold) return;
    for (const [key, { service, inFlightFingerprints: inFlight }] of this
      .#targets) {
      if (inFlight.size === 0 && this.isReplaced(service)) {
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
const staleTargetThreshold = 64;
