/** Chooses targets of plain services and counts what runs there. */
import { Just, Nothing } from 'purify-ts';
import type { Either, Maybe } from 'purify-ts';

import type {
  DirectoryEntry,
  TargetDirectory,
} from '../membership/target-directory.js';
import type { Quarantine } from '../quarantine/quarantine.js';
import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import type { Service } from '../target/target.js';

import { TargetBreaker } from './target-circuit-breaker.js';

/** Which targets of a service will do. */
export interface TargetChoice {
  readonly service: string;
  /** Names of targets that were tried already. */
  readonly exclude: ReadonlySet<string>;
  /** Only targets whose circuit is closed: for what may not be repeated. */
  readonly proven: boolean;
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
  readonly breaker: TargetBreaker;
  /** Fingerprints of the calls in flight, by request id. */
  readonly inFlight: Map<string, string>;
}

const defaultMaxInFlight = 64;

const targetKey = ({ name, incarnation }: Service): string =>
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
  choose(choice: TargetChoice): Maybe<ServiceTarget> {
    if (choice.proven) this.#testOpened(choice.service);
    const entries = this.#usable(choice);
    const local = entries.filter(entry => entry.local);
    const pool = local.length > 0 ? local : entries;
    return this.#lessBusy(pool.map(entry => this.#targetOf(entry.target)));
  }

  /** The least busy target, for a run apart from all others. */
  chooseIdlest(choice: TargetChoice): Maybe<ServiceTarget> {
    const targets = this.#usable(choice).map(({ target }) =>
      this.#targetOf(target),
    );
    targets.sort((a, b) => a.inFlight.size - b.inFlight.size);
    return this.#first(targets);
  }

  /** A target by name, if it takes new work. */
  find(name: string, choice: TargetChoice): Maybe<ServiceTarget> {
    const entries = this.#usable(choice);
    const entry = entries.find(({ target }) => target.name === name);
    return entry === undefined ? Nothing : Just(this.#targetOf(entry.target));
  }

  /** True when the target takes no new work. */
  closed(name: string): boolean {
    return this.#options.directory
      .find(name)
      .map(({ leaving }) => leaving)
      .orDefault(true);
  }

  /** Calls of this instance that run on the target. */
  running(name: string): number {
    return [...this.#targets.values()]
      .filter(({ service }) => service.name === name)
      .reduce((sum, { inFlight }) => sum + inFlight.size, 0);
  }

  /** True when the directory holds another incarnation of the target. */
  replaced(service: Service): boolean {
    return this.#options.directory
      .find(service.name)
      .map(entry => entry.target.incarnation !== service.incarnation)
      .orDefault(false);
  }

  /** Milliseconds until some target of the service may be tried again. */
  retryAfterMs(service: string): number {
    const waits = this.#options.directory
      .services(service)
      .map(({ target }) => this.#targetOf(target).breaker.retryAfterMs);
    return Math.ceil(Math.max(minRetryAfterMs, Math.min(...waits, maxWaitMs)));
  }

  #usable({ service, exclude, proven }: TargetChoice) {
    this.#forgetGone();
    const { directory, quarantine } = this.#options;
    const open = ({ target, leaving }: DirectoryEntry<Service>) =>
      !leaving &&
      !exclude.has(target.name) &&
      !quarantine.reserved(target.name);
    const ready = ({ target }: DirectoryEntry<Service>) => {
      const { breaker, inFlight } = this.#targetOf(target);
      const passing = breaker.closed || (!proven && breaker.probing);
      return passing && inFlight.size < this.#maxInFlight;
    };
    return directory.services(service).filter(open).filter(ready);
  }

  /** Probes targets whose open period is over, where no call may try them. */
  #testOpened(service: string): void {
    for (const { target } of this.#options.directory.services(service)) {
      const { breaker } = this.#targetOf(target);
      if (!breaker.probing) continue;
      void breaker.run(() => probeTarget(target));
    }
  }

  #lessBusy(targets: readonly ServiceTarget[]): Maybe<ServiceTarget> {
    const first = this.#pick(targets);
    const second = this.#pick(targets.filter(target => target !== first));
    if (first === undefined) return Nothing;
    if (second === undefined) return Just(first);
    return Just(first.inFlight.size <= second.inFlight.size ? first : second);
  }

  #pick(targets: readonly ServiceTarget[]): ServiceTarget | undefined {
    return targets[Math.floor(this.#options.random() * targets.length)];
  }

  #first(targets: readonly ServiceTarget[]): Maybe<ServiceTarget> {
    const target = targets[0];
    return target === undefined ? Nothing : Just(target);
  }

  #targetOf(service: Service): ServiceTarget {
    const key = targetKey(service);
    const known = this.#targets.get(key);
    if (known !== undefined) return known;
    const { log, random } = this.#options;
    const fields = { target: service.name, service: service.service };
    const breaker = new TargetBreaker({
      random,
      onOpen: () => {
        log.event('target_opened', fields);
      },
      onClose: () => {
        log.event('target_closed', fields);
      },
    });
    const target = { service, breaker, inFlight: new Map<string, string>() };
    this.#targets.set(key, target);
    return target;
  }

  /** Drops the state of incarnations that the directory no longer has. */
  #forgetGone(): void {
    if (this.#targets.size < maxForgotten) return;
    for (const [key, { service, inFlight }] of this.#targets) {
      if (inFlight.size === 0 && this.replaced(service)) {
        this.#targets.delete(key);
      }
    }
  }
}

const probeTarget = async (target: Service): Promise<Either<Failure, void>> => {
  const result = await target.probe(probeTimeoutMs);
  return result.mapLeft(({ message }) => new Failure('target_failed', message));
};

const probeTimeoutMs = 1_000;
const minRetryAfterMs = 500;
const maxWaitMs = 30_000;
const maxForgotten = 64;
