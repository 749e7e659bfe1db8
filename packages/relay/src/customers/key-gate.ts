/** Checks the key of each request that a caller sends to this instance, once. */
import { Failure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import type { RelayRequest } from '../requests/relay-request.js';
import type { Route } from '../routes/route-configuration.js';
import type { RouteTable } from '../routes/route-table.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import { readClocks } from '../shared/clock-reading.js';

import type { ConfigurationFreshness } from './configuration-freshness.js';
import type { ConfigurationReader } from './configuration-reader.js';
import {
  checkKey,
  decideUnknownKey,
  unknownKeyTimeoutMs,
} from './key-check.js';
import type { KeyVerdict } from './key-check.js';

/** Another instance may know the configuration by then, and so may this one. */
const unverifiableRetryAfterMs = 300;

/** Dependencies of a {@link KeyGate}. */
export interface KeyGateOptions {
  readonly routes: RouteTableHolder;
  readonly freshness: ConfigurationFreshness;
  readonly reader: ConfigurationReader;
  /** Longest delay of a withdrawal; undefined if the platform sets none. */
  readonly getMaxDelayMs: () => number | undefined;
  /** Called when a request shows that the configuration is not known to be recent. */
  readonly onStale: () => void;
  readonly log: Log;
}

/** A request that may run, with the configuration under which it was checked. */
export interface AdmittedRequest {
  readonly request: RelayRequest;
  readonly table: RouteTable;
  readonly route: Route;
}

/** The failure of a request that may not run, or the request. */
export type Admission = Either<Failure, AdmittedRequest>;

/** Admits requests with a known key, and those that need none. */
export class KeyGate {
  #isUnverifiable = false;

  constructor(private readonly options: KeyGateOptions) {}

  /**
   * Checks the request against the configuration in force. A request that another instance
   * has handed over was checked there. Only a request with an unknown key has to wait.
   */
  admit(
    request: RelayRequest,
    table: RouteTable,
    route: Route,
  ): Admission | Promise<Admission> {
    if (request.forwardedBy !== undefined)
      return admitForwarded(request, table, route);
    if (!table.requiresKeys || route.anonymous)
      return Right({ request, table, route });
    const verdict = this.#check(request, table, route);
    if (verdict.kind === 'unknown_key')
      return this.#admitAfterRead(request, table, route);
    return this.#conclude(request, table, route, verdict);
  }

  #check(request: RelayRequest, table: RouteTable, route: Route): KeyVerdict {
    const { freshness, getMaxDelayMs } = this.options;
    return checkKey({
      route,
      keyHash: request.keyHash,
      findCustomer: table.requiresKeys
        ? keyHash => table.findCustomerByKey(keyHash)
        : undefined,
      configurationAgeMs: freshness.getAgeMs(readClocks()),
      maxDelayMs: getMaxDelayMs(),
    });
  }

  #conclude(
    request: RelayRequest,
    table: RouteTable,
    route: Route,
    verdict: KeyVerdict,
  ): Admission {
    if (verdict.kind === 'anonymous') return Right({ request, table, route });
    if (verdict.kind !== 'allowed') return Left(this.#refuseUnverifiable());
    this.#setUnverifiable(false);
    const customer = verdict.customer.name;
    return Right({ request: { ...request, customer }, table, route });
  }

  /** Reads the configuration until it is as recent as the request. */
  async #admitAfterRead(
    request: RelayRequest,
    table: RouteTable,
    route: Route,
  ): Promise<Admission> {
    const { freshness, reader, routes } = this.options;
    // Not the arrival, which is estimated and may be too early.
    const waitedSinceMs = performance.now();
    for (;;) {
      const now = readClocks();
      const step = decideUnknownKey({
        hasKey: request.keyHash !== undefined,
        arrivedAtMs: waitedSinceMs,
        knownAsOfMs: freshness.getKnownAsOfMs(now),
        waitedMs: now.monotonicMs - waitedSinceMs,
      });
      if (step === 'refuse') return Left(this.#refuseKey(request, route));
      if (step === 'give_up') return Left(this.#refuseUnverifiable());
      const remainingMs =
        unknownKeyTimeoutMs - (now.monotonicMs - waitedSinceMs);
      await waitAtMost(reader.requestRead(), remainingMs);
      const currentTable = routes.currentTable ?? table;
      const currentRoute =
        currentTable.findRoute(request.host, request.url) ?? route;
      const verdict = this.#check(request, currentTable, currentRoute);
      if (verdict.kind !== 'unknown_key')
        return this.#conclude(request, currentTable, currentRoute, verdict);
    }
  }

  #refuseKey({ id, keyHash }: RelayRequest, { name }: Route): Failure {
    const reason = keyHash === undefined ? 'no key' : 'customer unknown';
    this.options.log.writeEvent('key_refused', {
      request: id,
      route: name,
      reason,
    });
    return new Failure(
      'unauthenticated',
      keyHash === undefined
        ? 'the request carries no key'
        : 'the key of the request is unknown',
    );
  }

  #refuseUnverifiable(): Failure {
    this.#setUnverifiable(true);
    this.options.onStale();
    return new Failure(
      'key_unverifiable',
      'the instance does not know the latest keys; retry at another instance',
      { retryAfterMs: unverifiableRetryAfterMs },
    );
  }

  #setUnverifiable(isUnverifiable: boolean): void {
    if (this.#isUnverifiable === isUnverifiable) return;
    this.#isUnverifiable = isUnverifiable;
    const ageMs = this.options.freshness.getAgeMs(readClocks());
    this.options.log.writeEvent('keys_unverifiable', {
      state: isUnverifiable ? 'begin' : 'end',
      configuration_age_ms: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
    });
  }
}

/** Takes the name of the customer over from the instance that has checked the key. */
const admitForwarded = (
  request: RelayRequest,
  table: RouteTable,
  route: Route,
): Admission => {
  if (route.anonymous || !table.requiresKeys)
    return Right({
      request: { ...request, customer: undefined },
      table,
      route,
    });
  return request.customer === undefined
    ? Left(createUncheckedFailure())
    : Right({ request, table, route });
};

/** Failure of a request from an older instance, which passes it on to another one. */
const createUncheckedFailure = (): Failure =>
  new Failure(
    'not_ready',
    'the instance that handed the request over has not checked its key',
    { retryAfterMs: unverifiableRetryAfterMs },
  );

const waitAtMost = async (
  event: Promise<void>,
  timeoutMs: number,
): Promise<void> => {
  let timer: NodeJS.Timeout | undefined;
  const timeout = new Promise<void>(resolve => {
    timer = setTimeout(resolve, timeoutMs);
  });
  await Promise.race([event, timeout]);
  clearTimeout(timer);
};
