/** Takes each request to its end: an answer or one numbered failure. */
import { Failure, toFailure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { RelayMetrics } from '../metrics/relay-metrics.js';
import type {
  Caller,
  PromptSegment,
  RelayRequest,
} from '../requests/relay-request.js';
import type { CrashTracker } from '../retries/crash-tracker.js';
import { pickService } from '../routes/route-table.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { DataCenterReachability } from '../targets/data-center-reachability.js';
import type { TargetRegistry } from '../targets/target-registry.js';

import { PlainRequestRunner } from './plain-request-runner.js';
import { GenerationRunner } from './generation-runner.js';
import { RequestContext } from './request-context.js';
import type { LivenessCheck } from './send-watchdog.js';
import type { ServiceStates } from './service-state.js';
import type { TargetClient } from './target-client.js';

/** When to come back to an instance that knows no configuration yet. */
const notReadyRetryAfterMs = 300;

/** Another instance can take the request at once. */
const shutdownRetryAfterMs = 50;

/**
 * A process that is further behind takes no more: its answers would come late,
 * and other instances may be idle.
 */
const maxEventLoopDelayMs = 500;

/** What the relay works with. */
export interface RelayDependencies {
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly serviceStates: ServiceStates;
  readonly targetClient: TargetClient;
  readonly checkLiveness: LivenessCheck;
  readonly crashTracker: CrashTracker;
  readonly dataCenterReachability: DataCenterReachability;
  readonly metrics: RelayMetrics;
  readonly log: Log;
  readonly random: () => number;
  /** True when many instances choose targets from the same late picture. */
  readonly isLargeDeployment: () => boolean;
  /** Data centre of this instance. */
  readonly dataCenter: string;
  /** How far this process is behind with what has arrived. */
  readonly getEventLoopDelayMs: () => number;
  /** Time that this process can still give to a request. */
  readonly getRemainingMs: () => number;
  /** Told when an engine begins to read prompt parts. */
  readonly onPrefillStart: (
    target: string,
    parts: readonly PromptSegment[],
    expectedMs: number,
  ) => void;
}

export class Relay {
  #activeRequestCount = 0;

  constructor(private readonly dependencies: RelayDependencies) {}

  /** Requests under way. */
  get activeRequestCount(): number {
    return this.#activeRequestCount;
  }

  /** Serves one request to its end; never throws. */
  async serve(request: RelayRequest, caller: Caller): Promise<void> {
    this.#activeRequestCount += 1;
    try {
      await this.#routeRequest(request, caller);
    } finally {
      this.#activeRequestCount -= 1;
    }
  }

  async #routeRequest(request: RelayRequest, caller: Caller): Promise<void> {
    const { routes, random, log, metrics } = this.dependencies;
    const table = routes.currentTable;
    const route = table?.findRoute(request.host, request.url);
    if (table === undefined || route === undefined) {
      this.#rejectUnroutedRequest(request, caller);
      return;
    }
    const service = pickService(route, random());
    const journey = new RequestContext({
      request,
      caller,
      route,
      service,
      revision: table.version,
      log,
      metrics,
    });
    try {
      await this.#runRequest(journey);
    } catch (error) {
      log.writeEvent('defect', { request: request.id, error: String(error) });
      journey.failRequest(toFailure(error));
    }
  }

  async #runRequest(journey: RequestContext): Promise<void> {
    const {
      crashTracker: crashes,
      serviceStates: services,
      routes,
    } = this.dependencies;
    const { request, service } = journey;
    if (crashes.isPoisonRequest(request.fingerprint)) {
      const reason = 'the request crashed the targets that ran it';
      journey.failRequest(new Failure('poison_request', reason));
      return;
    }
    if (journey.remainingMs > this.dependencies.getRemainingMs()) {
      const reason = 'the instance stops before the request may end';
      const retryAfterMs = shutdownRetryAfterMs;
      journey.failRequest(
        new Failure('shutting_down', reason, { retryAfterMs }),
      );
      return;
    }
    const behindMs = this.dependencies.getEventLoopDelayMs();
    if (behindMs > maxEventLoopDelayMs) {
      const reason = `the instance is ${Math.round(behindMs)} ms behind`;
      const retryAfterMs = behindMs;
      journey.failRequest(new Failure('overloaded', reason, { retryAfterMs }));
      return;
    }
    services.getState(service).retryBudget.recordRequest();
    const engine = routes.currentTable?.findService(service)?.engine;
    if (engine !== undefined && request.prompt !== undefined) {
      await new GenerationRunner(
        this.dependencies,
        journey,
        request.prompt,
        engine,
      ).run();
    } else {
      await new PlainRequestRunner(this.dependencies, journey).run();
    }
  }

  #rejectUnroutedRequest(request: RelayRequest, caller: Caller): void {
    const known = this.dependencies.routes.currentTable !== undefined;
    const failure = known
      ? new Failure('not_found', 'no route for this host and path')
      : new Failure('not_ready', 'no configuration is known yet', {
          retryAfterMs: notReadyRetryAfterMs,
        });
    this.dependencies.log.writeEvent('request_ended', {
      request: request.id,
      outcome: failure.code,
      host: request.host,
      revision: this.dependencies.routes.version,
    });
    caller.sendFailure(failure);
  }
}
