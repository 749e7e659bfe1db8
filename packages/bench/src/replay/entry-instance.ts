/** One entry instance: production admission and routing before fake engines. */
import {
  Deadline,
  DemandMeter,
  DispatchNotifier,
  FairAdmission,
  LoadEstimator,
  GenerationLimit,
  LoadPoller,
  OutputLengthEstimator,
  PrefixIndex,
  Router,
  prefixBlockTokens,
  sleep,
} from '@medlarlever/core';
import type {
  EngineSpeed,
  PeerGroup,
  PeerMethodHandler,
  Route,
  RouteRequest,
  Stage,
  AdmissionPermit,
} from '@medlarlever/core';

import { createEntitlement } from './replay-entitlement.js';
import type { JobOutcome } from './engine-job.js';
import { computeKvTransferMs } from './engine-cost-model.js';
import type { EngineCostModel } from './engine-cost-model.js';
import type { RequestOutcome } from './request-outcome.js';
import { TokenTimes } from './token-times.js';
import { ReplayEngine, replayModelId } from './replay-engine.js';
import type { ReplayDirectory } from './replay-fleet.js';
import type { RequestHold } from './request-hold.js';
import type { TraceGeneration, TraceOperation, TraceRequest } from './trace.js';

export interface EntryInstanceOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly directory: ReplayDirectory;
  readonly getPeers: () => PeerGroup;
  readonly engineSpeed: EngineSpeed;
  readonly costModel: EngineCostModel;
  readonly random: () => number;
  readonly requestHold: RequestHold;
}

/** Run time of a call at the plain services. */
const serviceCallMs = 250;
const maxOutputTokens = 2_048;
const maxAttempts = 3;

const maxQueuedRequests = 2_000;
const serviceLimits = { maxRunning: 64, maxQueued: 64 };

/** Time of a request on an engine that decodes a batch of ordinary size. */
const estimateRunMs = (
  promptTokens: number,
  outputTokens: number,
  speed: EngineSpeed,
): number => {
  if (outputTokens === 0) return serviceCallMs;
  const prefillMs = (promptTokens / speed.prefill_tokens_per_second) * 1_000;
  return prefillMs + outputTokens * 1.5 * speed.decode_step_ms;
};

/** The pieces of a prompt: shared ones by prefix, the rest its own. */
export const createPromptBlocks = (
  request: TraceGeneration,
  id: string,
): readonly string[] => {
  const { sharedPrefix, promptTokens } = request;
  const shared = Math.floor((sharedPrefix?.tokens ?? 0) / prefixBlockTokens);
  const whole = Math.floor(promptTokens / prefixBlockTokens);
  return Array.from({ length: whole }, (_, index) =>
    index < shared ? `${sharedPrefix?.id ?? ''}/${index}` : `${id}/${index}`,
  );
};

interface RunningGeneration {
  readonly request: TraceGeneration;
  readonly routeRequest: RouteRequest;
  readonly tokenTimes: TokenTimes;
  readonly failedEngines: Set<string>;
}

export class EntryInstance {
  readonly name: string;
  readonly dataCenter: string;
  readonly demandMeter = new DemandMeter();
  readonly loadEstimator = new LoadEstimator();
  readonly #options: EntryInstanceOptions;
  readonly #prefixIndex = new PrefixIndex();
  readonly #outputLengthEstimator = new OutputLengthEstimator();
  readonly #router: Router;
  readonly #dispatchNotifier: DispatchNotifier;
  readonly #admission: FairAdmission;
  #runningCount = 0;
  #requestCount = 0;

  constructor(options: EntryInstanceOptions) {
    this.#options = options;
    this.name = options.name;
    this.dataCenter = options.dataCenter;
    const { directory, random, engineSpeed: speed } = options;
    this.#router = new Router({
      directory,
      loadEstimator: this.loadEstimator,
      prefixIndex: this.#prefixIndex,
      random,
      engineSpeed: speed,
    });
    this.#dispatchNotifier = new DispatchNotifier({
      loadEstimator: this.loadEstimator,
      peers: options.getPeers(),
      random,
    });
    this.#admission = this.#createAdmission();
  }

  #createAdmission(): FairAdmission {
    const { directory, random, engineSpeed: speed } = this.#options;
    const bounds = new GenerationLimit({
      directory,
      loadEstimator: this.loadEstimator,
      engineSpeed: speed,
    });
    return new FairAdmission({
      getServiceLimits: service =>
        service === 'models'
          ? {
              maxRunning: bounds.computeMaxRunning(this.#runningCount),
              maxQueued: maxQueuedRequests,
            }
          : serviceLimits,
      estimateRunMs: ({ promptTokens, outputTokens }) =>
        estimateRunMs(promptTokens, outputTokens, speed),
      random,
    });
  }

  get peerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#dispatchNotifier.getPeerMethods();
  }

  /** Polls the engines and tells the peers until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { directory, random } = this.#options;
    const poller = new LoadPoller({
      directory,
      loadEstimator: this.loadEstimator,
      prefixIndex: this.#prefixIndex,
      random,
    });
    await Promise.all([poller.run(signal), this.#dispatchNotifier.run(signal)]);
  }

  /** Takes a request from its caller to its final answer. */
  handleRequest(request: TraceRequest): Promise<RequestOutcome> {
    return request.kind === 'generation'
      ? this.#handleGeneration(request)
      : this.#handleOperation(request);
  }

  async #handleOperation(request: TraceOperation): Promise<RequestOutcome> {
    const deadline = Deadline.after(request.deadlineMs);
    const ticket = await this.#requestAdmission(
      request,
      request.service,
      deadline,
      0,
      0,
    );
    if ('code' in ticket) return ticket;
    await sleep(serviceCallMs);
    ticket.release();
    const verdict = deadline.hasPassed ? 'late' : 'good';
    return { request, verdict, isSplit: false };
  }

  async #handleGeneration(request: TraceGeneration): Promise<RequestOutcome> {
    const deadline = Deadline.after(request.deadlineMs);
    const times = new TokenTimes();
    const { customer, operation, promptTokens, priority } = request;
    this.#requestCount += 1;
    const prefixBlocks = createPromptBlocks(
      request,
      `${this.name}/${this.#requestCount}`,
    );
    const outputTokens = this.#outputLengthEstimator.estimateOutputTokens(
      customer,
      operation,
      maxOutputTokens,
    );
    const prefillTokens = this.#countUncachedTokens(promptTokens, prefixBlocks);
    this.demandMeter.countRequest({ prefillTokens, outputTokens });
    const ticket = await this.#requestAdmission(
      request,
      'models',
      deadline,
      prefillTokens,
      outputTokens,
    );
    if ('code' in ticket) return ticket;
    this.#runningCount += 1;
    const route = {
      model: replayModelId,
      prefixBlocks,
      promptTokens,
      outputTokens,
      priority,
      deadline,
    };
    const outcome = await this.#serveGeneration({
      request,
      routeRequest: route,
      tokenTimes: times,
      failedEngines: new Set(),
    });
    this.#runningCount -= 1;
    ticket.release();
    if (outcome.verdict === 'good') {
      this.#outputLengthEstimator.recordLength(
        customer,
        operation,
        request.outputTokens,
      );
    }
    return outcome;
  }

  /** The ticket, or the outcome of a request that was not admitted. */
  async #requestAdmission(
    request: TraceRequest,
    service: string,
    deadline: Deadline,
    promptTokens: number,
    outputTokens: number,
  ): Promise<AdmissionPermit | (RequestOutcome & { readonly code: string })> {
    const entered = await this.#admission.acquirePermit(
      {
        entitlement: createEntitlement(request),
        service,
        deadline,
        promptTokens,
        outputTokens,
      },
      new AbortController().signal,
    );
    return entered.caseOf<
      AdmissionPermit | (RequestOutcome & { readonly code: string })
    >({
      Left: ({ code }) => ({
        request,
        verdict: 'refused',
        code,
        isSplit: false,
      }),
      Right: ticket => ticket,
    });
  }

  /** Tokens of the prompt that no engine of this data centre has cached. */
  #countUncachedTokens(
    promptTokens: number,
    pieces: readonly string[],
  ): number {
    const cached = this.#options.directory
      .listEngines()
      .filter(entry => entry.isLocal)
      .map(
        ({ target }) =>
          this.#prefixIndex.findCachedPrefix(target.name, pieces).blocks,
      );
    return Math.max(
      1,
      promptTokens - Math.max(0, ...cached) * prefixBlockTokens,
    );
  }

  async #serveGeneration(running: RunningGeneration): Promise<RequestOutcome> {
    const { request, tokenTimes: times } = running;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      await this.#options.requestHold.waitForChanges(
        this.dataCenter,
        running.routeRequest.deadline,
      );
      const end = await this.#attemptGeneration(running);
      if (end === 'lost') continue;
      const verdict = end === 'done' ? 'good' : 'late';
      return { request, verdict, ...times.summarize(), isSplit: times.isSplit };
    }
    return { request, verdict: 'lost', ...times.summarize(), isSplit: false };
  }

  async #attemptGeneration(running: RunningGeneration): Promise<JobOutcome> {
    const request = {
      ...running.routeRequest,
      excludedEngines: running.failedEngines,
    };
    const placement = this.#router.placeRequest(request).toMaybe().extract();
    if (placement === undefined) {
      const waited = await sleep(200);
      return running.routeRequest.deadline.hasPassed || !waited
        ? 'late'
        : 'lost';
    }
    if (placement.kind === 'whole') {
      return this.#runOnEngine(running, placement.route, 'whole');
    }
    const prefill = await this.#runOnEngine(
      running,
      placement.prefill,
      'prefill',
    );
    if (prefill !== 'done') return prefill;
    const decode = this.#router
      .routeStage(request, 'decode')
      .toMaybe()
      .extract();
    if (decode === undefined) return 'lost';
    await sleep(this.#computeKvTransferMs(running, placement.prefill, decode));
    running.tokenTimes.isSplit = true;
    return this.#runOnEngine(running, decode, 'decode');
  }

  /** The decode engine fetches only what it has not cached itself. */
  #computeKvTransferMs(
    running: RunningGeneration,
    from: Route,
    to: Route,
  ): number {
    const { promptTokens } = running.request;
    if (!(to.engine instanceof ReplayEngine)) return 0;
    const tokens = to.engine.countMissingTokens(
      promptTokens,
      running.routeRequest.prefixBlocks,
    );
    const near = from.engine.dataCenter === to.engine.dataCenter;
    return computeKvTransferMs(this.#options.costModel, tokens, near);
  }

  async #runOnEngine(
    running: RunningGeneration,
    route: Route,
    stage: Stage,
  ): Promise<JobOutcome> {
    const { engine } = route;
    if (!(engine instanceof ReplayEngine)) return 'lost';
    const {
      request,
      routeRequest: wanted,
      tokenTimes: times,
      failedEngines: failed,
    } = running;
    const prefillTokens = stage === 'decode' ? 0 : route.prefillTokens;
    const dispatch = this.loadEstimator.recordDispatch(engine.name, {
      prefillTokens,
      priority: request.priority,
    });
    this.#prefixIndex.recordDispatch(engine.name, wanted.prefixBlocks);
    this.#dispatchNotifier.addDispatch(engine.name, prefillTokens);
    const end = await engine.submitJob({
      blocks: wanted.prefixBlocks,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      priority: request.priority,
      stage,
      deadlineAtMs: wanted.deadline.atMs,
      onFirstToken: () => {
        dispatch.markPrefilled();
        times.recordToken();
      },
      onTokenGap: () => {
        times.recordToken();
      },
    });
    dispatch.markEnded();
    if (end === 'lost') failed.add(engine.name);
    return end;
  }
}
