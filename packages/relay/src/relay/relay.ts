/** Routes requests and runs each until its answer or its failure is sent. */
import { Failure, toFailure } from '@medlarlever/core';

import type { FoundOrigin } from '../origins/stream-origin-finder.js';
import type { AdmittedRequest } from '../customers/key-gate.js';
import type { Caller, RelayRequest } from '../requests/relay-request.js';
import type { Customer, Route } from '../routes/route-configuration.js';
import { pickService } from '../routes/route-table.js';
import type { RouteTable } from '../routes/route-table.js';

import { findOverload } from './overload.js';
import { PlainRequestRunner } from './plain-request-runner.js';
import { GenerationRunner } from './generation-runner.js';
import type { RelayDependencies } from './relay-dependencies.js';
import { RequestContext } from './request-context.js';

/** Retry delay for the caller while the instance has no configuration. */
const notReadyRetryAfterMs = 300;

/** Retry delay during shutdown; short, because another instance can take over. */
const shutdownRetryAfterMs = 50;

/** True if the caller takes up a stream that an earlier request began. */
const isResumption = (
  { resumedRequestId, resumeAfterEventId }: RelayRequest,
  { kind }: Route,
): boolean =>
  kind === 'stream' &&
  (resumedRequestId !== undefined || resumeAfterEventId !== undefined);

const findCustomer = (
  table: RouteTable,
  { customer }: RelayRequest,
): Customer | undefined =>
  customer === undefined ? undefined : table.findCustomer(customer);

/** Retry delay for the caller of a stream of which another instance may know more. */
const originUnknownRetryAfterMs = 100;

const createOriginUnknownFailure = (): Failure =>
  new Failure(
    'stream_origin_unknown',
    'no instance in reach knows at which software version the stream began; take it up again later, or begin it anew',
    { retryAfterMs: originUnknownRetryAfterMs },
  );

const createServiceChangedFailure = (): Failure =>
  new Failure(
    'stream_version_gone',
    'the route no longer leads to the service that began the stream; begin it anew',
  );

/** Entry point for all requests that this instance relays. */
export class Relay {
  #activeRequestCount = 0;
  readonly #runningContexts = new Set<RequestContext>();

  constructor(private readonly dependencies: RelayDependencies) {}

  /** Number of requests that have not ended yet. */
  get activeRequestCount(): number {
    return this.#activeRequestCount;
  }

  /** Ends the requests whose answers have not begun, as the process ends. */
  endUnanswered(): void {
    for (const context of this.#runningContexts) context.cutShort();
  }

  /** Serves one request; failures are sent to the caller, not thrown. */
  async serve(request: RelayRequest, caller: Caller): Promise<void> {
    this.#activeRequestCount += 1;
    try {
      await this.#routeRequest(request, caller);
    } finally {
      this.#activeRequestCount -= 1;
    }
  }

  async #routeRequest(request: RelayRequest, caller: Caller): Promise<void> {
    const routeTable = this.dependencies.routes.currentTable;
    const route = routeTable?.findRoute(request.host, request.url);
    if (routeTable === undefined || route === undefined) {
      this.#rejectUnroutedRequest(request, caller);
      return;
    }
    const { keyGate } = this.dependencies;
    const admission = keyGate.admit(request, routeTable, route);
    const admitted = (
      admission instanceof Promise ? await admission : admission
    ).extract();
    if (admitted instanceof Failure)
      this.#rejectForKey(request, route, admitted, caller);
    else await this.#runAdmittedRequest(admitted, caller);
  }

  async #runAdmittedRequest(
    { request, table: routeTable, route }: AdmittedRequest,
    caller: Caller,
  ): Promise<void> {
    const { random, log, metrics } = this.dependencies;
    const found = isResumption(request, route)
      ? await this.dependencies.originFinder.find(
          request.resumedRequestId,
          route.services.map(({ name }) => name),
        )
      : undefined;
    const service = found?.origin?.service ?? pickService(route, random());
    const context = new RequestContext({
      request,
      caller,
      route,
      service,
      origin: found?.origin,
      customer: findCustomer(routeTable, request),
      revision: routeTable.version,
      log,
      metrics,
    });
    const { forwardedBy } = request;
    if (forwardedBy !== undefined)
      context.addLogFields({ forwarded_by: forwardedBy });
    this.#runningContexts.add(context);
    try {
      if (found !== undefined) this.#recordResumption(context, found);
      await this.#runRequest(context);
    } catch (error) {
      log.writeEvent('defect', { request: request.id, error: String(error) });
      context.failRequest(toFailure(error));
    } finally {
      this.#runningContexts.delete(context);
    }
  }

  /** Records how the origin is known; fails the request if the stream can't go on. */
  #recordResumption(
    context: RequestContext,
    { origin, source }: FoundOrigin,
  ): void {
    this.dependencies.metrics.recordResumption(context.service, source);
    context.addLogFields({
      origin: source,
      began_at: origin?.softwareVersion,
    });
    if (origin === undefined) {
      context.failRequest(createOriginUnknownFailure());
      return;
    }
    const { services } = context.route;
    if (!services.some(({ name }) => name === origin.service))
      context.failRequest(createServiceChangedFailure());
  }

  async #runRequest(context: RequestContext): Promise<void> {
    if (context.hasEnded) return;
    const { crashTracker, serviceStates, routes } = this.dependencies;
    const { request, service } = context;
    if (crashTracker.requests.isRefused(request.fingerprint)) {
      const reason =
        'the request crashed several targets; do not send it again';
      context.failRequest(new Failure('poison_request', reason));
      return;
    }
    if (context.remainingMs > this.dependencies.getRemainingMs()) {
      const reason =
        'the instance shuts down before the deadline of the request; send it to another instance';
      const retryAfterMs = shutdownRetryAfterMs;
      context.failRequest(
        new Failure('shutting_down', reason, { retryAfterMs }),
      );
      return;
    }
    const overload = findOverload(this.dependencies.getEventLoopDelayMs());
    if (overload !== undefined) {
      context.failRequest(overload);
      return;
    }
    // The instance that the caller asked has counted the request.
    if (request.forwardedBy === undefined)
      serviceStates.getState(service).retryBudget.recordRequest();
    const engineSettings = routes.currentTable?.findService(service)?.engine;
    if (engineSettings !== undefined && request.prompt !== undefined) {
      await new GenerationRunner(
        this.dependencies,
        context,
        request.prompt,
        engineSettings,
      ).run();
    } else {
      await new PlainRequestRunner(this.dependencies, context).run();
    }
  }

  #rejectForKey(
    request: RelayRequest,
    route: Route,
    failure: Failure,
    caller: Caller,
  ): void {
    const { log, metrics, routes } = this.dependencies;
    const totalMs = Math.round(performance.now() - request.arrivedAtMs);
    metrics.recordRequestEnd(route, failure.code, totalMs, totalMs);
    log.writeEvent('request_ended', {
      request: request.id,
      route: route.name,
      outcome: failure.code,
      reason: failure.message,
      executed: failure.executed,
      total_ms: totalMs,
      revision: routes.version,
    });
    caller.sendFailure(failure);
  }

  #rejectUnroutedRequest(request: RelayRequest, caller: Caller): void {
    const hasConfiguration =
      this.dependencies.routes.currentTable !== undefined;
    const failure = hasConfiguration
      ? new Failure(
          'not_found',
          'no route is configured for this host and path',
        )
      : new Failure(
          'not_ready',
          'the instance has received no configuration yet; retry later',
          {
            retryAfterMs: notReadyRetryAfterMs,
          },
        );
    this.dependencies.log.writeEvent('request_ended', {
      request: request.id,
      outcome: failure.code,
      host: request.host,
      revision: this.dependencies.routes.version,
    });
    caller.sendFailure(failure);
  }
}
