/** Takes each request to its end: an answer or one numbered failure. */
import { Failure, toFailure } from '@medlarlever/core';
import type { Log } from '@medlarlever/core';

import type { RelayMetrics } from '../metrics/relay-metrics.js';
import type {
  Caller,
  PromptPart,
  RelayRequest,
} from '../requests/relay-request.js';
import type { CrashCounts } from '../retries/crash-tracker.js';
import { pickService } from '../routes/route-table.js';
import type { RouteHolder } from '../routes/route-table-holder.js';
import type { DataCenterReach } from '../targets/data-center-reachability.js';
import type { TargetBook } from '../targets/target-registry.js';

import { CallRun } from './plain-request-runner.js';
import { GenerationRun } from './generation-runner.js';
import { Journey } from './request-context.js';
import type { LivenessCheck } from './send-watchdog.js';
import type { ServiceStates } from './service-state.js';
import type { TargetClient } from './target-client.js';

/** When to come back to an instance that knows no configuration yet. */
const notReadyRetryMs = 300;

/** Another instance can take the request at once. */
const stoppingRetryMs = 50;

/**
 * A process that is further behind takes no more: its answers would come late,
 * and other instances may be idle.
 */
const mostBehindMs = 500;

/** What the relay works with. */
export interface RelayParts {
  readonly routes: RouteHolder;
  readonly targets: TargetBook;
  readonly services: ServiceStates;
  readonly client: TargetClient;
  readonly answers: LivenessCheck;
  readonly crashes: CrashCounts;
  readonly reach: DataCenterReach;
  readonly metrics: RelayMetrics;
  readonly log: Log;
  readonly random: () => number;
  /** True when many instances choose targets from the same late picture. */
  readonly largeDeployment: () => boolean;
  /** Data centre of this instance. */
  readonly dataCenter: string;
  /** How far this process is behind with what has arrived. */
  readonly behindMs: () => number;
  /** Time that this process can still give to a request. */
  readonly timeLeftMs: () => number;
  /** Told when an engine begins to read prompt parts. */
  readonly onReading: (
    target: string,
    parts: readonly PromptPart[],
    expectedMs: number,
  ) => void;
}

export class Relay {
  #running = 0;

  constructor(private readonly parts: RelayParts) {}

  /** Requests under way. */
  get running(): number {
    return this.#running;
  }

  /** Serves one request to its end; never throws. */
  async serve(request: RelayRequest, caller: Caller): Promise<void> {
    this.#running += 1;
    try {
      await this.#serve(request, caller);
    } finally {
      this.#running -= 1;
    }
  }

  async #serve(request: RelayRequest, caller: Caller): Promise<void> {
    const { routes, random, log, metrics } = this.parts;
    const table = routes.current;
    const route = table?.find(request.host, request.url);
    if (table === undefined || route === undefined) {
      this.#refuseUnrouted(request, caller);
      return;
    }
    const service = pickService(route, random());
    const journey = new Journey({
      request,
      caller,
      route,
      service,
      revision: table.version,
      log,
      metrics,
    });
    try {
      await this.#run(journey);
    } catch (error) {
      log.event('defect', { request: request.id, error: String(error) });
      journey.fail(toFailure(error));
    }
  }

  async #run(journey: Journey): Promise<void> {
    const { crashes, services, routes } = this.parts;
    const { request, service } = journey;
    if (crashes.poisoned(request.fingerprint)) {
      const reason = 'the request crashed the targets that ran it';
      journey.fail(new Failure('poison_request', reason));
      return;
    }
    if (journey.leftMs > this.parts.timeLeftMs()) {
      const reason = 'the instance stops before the request may end';
      const retryAfterMs = stoppingRetryMs;
      journey.fail(new Failure('shutting_down', reason, { retryAfterMs }));
      return;
    }
    const behindMs = this.parts.behindMs();
    if (behindMs > mostBehindMs) {
      const reason = `the instance is ${Math.round(behindMs)} ms behind`;
      const retryAfterMs = behindMs;
      journey.fail(new Failure('overloaded', reason, { retryAfterMs }));
      return;
    }
    services.get(service).retries.request();
    const engine = routes.current?.service(service)?.engine;
    if (engine !== undefined && request.prompt !== undefined) {
      await new GenerationRun(
        this.parts,
        journey,
        request.prompt,
        engine,
      ).run();
    } else {
      await new CallRun(this.parts, journey).run();
    }
  }

  #refuseUnrouted(request: RelayRequest, caller: Caller): void {
    const known = this.parts.routes.current !== undefined;
    const failure = known
      ? new Failure('not_found', 'no route for this host and path')
      : new Failure('not_ready', 'no configuration is known yet', {
          retryAfterMs: notReadyRetryMs,
        });
    this.parts.log.event('request_ended', {
      request: request.id,
      outcome: failure.code,
      host: request.host,
      revision: this.parts.routes.version,
    });
    caller.refuse(failure);
  }
}
