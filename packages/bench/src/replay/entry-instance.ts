/**
 * An entry instance of a replay: the production code of admission, load
 * estimation and routing in front of simulated engines.
 */
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

/** Identity and dependencies of an entry instance. */
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

/** Duration of a call to a plain service. */
const serviceCallMs = 250;
const maxOutputTokens = 2_048;
const maxAttempts = 3;

/** Maximum number of generations in the admission queue. */
const maxQueuedRequests = 2_000;
/** Admission limits of each plain service. */
const serviceLimits = { maxRunning: 64, maxQueued: 64 };

/**
 * Estimates the run time of a request. The factor 1.5 on the decode step covers
 * the other sequences of a batch of typical size.
 */
const estimateRunMs = (
  promptTokens: number,
  outputTokens: number,
  engineSpeed: EngineSpeed,
): number => {
  if (outputTokens === 0) return serviceCallMs;
  const prefillMs =
    (promptTokens / engineSpeed.prefill_tokens_per_second) * 1_000;
  return prefillMs + outputTokens * 1.5 * engineSpeed.decode_step_ms;
};

/**
 * Creates ids for the full prefix blocks of a prompt. Blocks of the shared
 * prefix get the same ids in all requests with that prefix; the ids of the
 * other blocks contain `id`, which is unique to the request.
 */
export const createPromptBlocks = (
  request: TraceGeneration,
  id: string,
): readonly string[] => {
  const { sharedPrefix, promptTokens } = request;
  const sharedBlockCount = Math.floor(
    (sharedPrefix?.tokens ?? 0) / prefixBlockTokens,
  );
  const blockCount = Math.floor(promptTokens / prefixBlockTokens);
  return Array.from({ length: blockCount }, (_, index) =>
    index < sharedBlockCount
      ? `${sharedPrefix?.id ?? ''}/${index}`
      : `${id}/${index}`,
  );
};

/** A generation between its admission and its outcome. */
interface RunningGeneration {
  readonly request: TraceGeneration;
  readonly routeRequest: RouteRequest;
  readonly tokenTimes: TokenTimes;
  readonly failedEngines: Set<string>;
}

/** An instance that accepts requests and dispatches them to engines. */
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
  /** Number of admitted generations that have not ended. */
  #runningCount = 0;
  #requestCount = 0;

  constructor(options: EntryInstanceOptions) {
    this.#options = options;
    this.name = options.name;
    this.dataCenter = options.dataCenter;
    const { directory, random, engineSpeed } = options;
    this.#router = new Router({
      directory,
      loadEstimator: this.loadEstimator,
      prefixIndex: this.#prefixIndex,
      random,
      engineSpeed,
    });
    this.#dispatchNotifier = new DispatchNotifier({
      loadEstimator: this.loadEstimator,
      peers: options.getPeers(),
      random,
    });
    this.#admission = this.#createAdmission();
  }

  #createAdmission(): FairAdmission {
    const { directory, random, engineSpeed } = this.#options;
    const generationLimit = new GenerationLimit({
      directory,
      loadEstimator: this.loadEstimator,
      engineSpeed,
    });
    return new FairAdmission({
      getServiceLimits: service =>
        service === 'models'
          ? {
              maxRunning: generationLimit.computeMaxRunning(this.#runningCount),
              maxQueued: maxQueuedRequests,
            }
          : serviceLimits,
      estimateRunMs: ({ promptTokens, outputTokens }) =>
        estimateRunMs(promptTokens, outputTokens, engineSpeed),
      random,
    });
  }

  get peerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#dispatchNotifier.getPeerMethods();
  }

  /** Polls engine loads and notifies peers of dispatches until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { directory, random } = this.#options;
    const loadPoller = new LoadPoller({
      directory,
      loadEstimator: this.loadEstimator,
      prefixIndex: this.#prefixIndex,
      random,
    });
    await Promise.all([
      loadPoller.run(signal),
      this.#dispatchNotifier.run(signal),
    ]);
  }

  /** Runs a request from its arrival to its outcome. */
  handleRequest(request: TraceRequest): Promise<RequestOutcome> {
    return request.kind === 'generation'
      ? this.#handleGeneration(request)
      : this.#handleOperation(request);
  }

  async #handleOperation(request: TraceOperation): Promise<RequestOutcome> {
    const deadline = Deadline.after(request.deadlineMs);
    const permit = await this.#requestAdmission(
      request,
      request.service,
      deadline,
      0,
      0,
    );
    if ('code' in permit) return permit;
    await sleep(serviceCallMs);
    permit.release();
    const verdict = deadline.hasPassed ? 'late' : 'good';
    return { request, verdict, isSplit: false };
  }

  async #handleGeneration(request: TraceGeneration): Promise<RequestOutcome> {
    const deadline = Deadline.after(request.deadlineMs);
    const tokenTimes = new TokenTimes();
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
    const permit = await this.#requestAdmission(
      request,
      'models',
      deadline,
      prefillTokens,
      outputTokens,
    );
    if ('code' in permit) return permit;
    this.#runningCount += 1;
    const routeRequest = {
      model: replayModelId,
      prefixBlocks,
      promptTokens,
      outputTokens,
      priority,
      deadline,
    };
    const outcome = await this.#serveGeneration({
      request,
      routeRequest,
      tokenTimes,
      failedEngines: new Set(),
    });
    this.#runningCount -= 1;
    permit.release();
    if (outcome.verdict === 'good') {
      this.#outputLengthEstimator.recordLength(
        customer,
        operation,
        request.outputTokens,
      );
    }
    return outcome;
  }

  /** Returns a permit, or the outcome of a request that was refused. */
  async #requestAdmission(
    request: TraceRequest,
    service: string,
    deadline: Deadline,
    promptTokens: number,
    outputTokens: number,
  ): Promise<AdmissionPermit | (RequestOutcome & { readonly code: string })> {
    const permitResult = await this.#admission.acquirePermit(
      {
        entitlement: createEntitlement(request),
        service,
        deadline,
        promptTokens,
        outputTokens,
      },
      new AbortController().signal,
    );
    return permitResult.caseOf<
      AdmissionPermit | (RequestOutcome & { readonly code: string })
    >({
      Left: ({ code }) => ({
        request,
        verdict: 'refused',
        code,
        isSplit: false,
      }),
      Right: permit => permit,
    });
  }

  /** Counts the prompt tokens that no engine of this data centre has cached. */
  #countUncachedTokens(
    promptTokens: number,
    prefixBlocks: readonly string[],
  ): number {
    const cachedBlockCounts = this.#options.directory
      .listEngines()
      .filter(entry => entry.isLocal)
      .map(
        ({ target }) =>
          this.#prefixIndex.findCachedPrefix(target.name, prefixBlocks).blocks,
      );
    return Math.max(
      1,
      promptTokens - Math.max(0, ...cachedBlockCounts) * prefixBlockTokens,
    );
  }

  async #serveGeneration(running: RunningGeneration): Promise<RequestOutcome> {
    const { request, tokenTimes } = running;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      await this.#options.requestHold.waitForChanges(
        this.dataCenter,
        running.routeRequest.deadline,
      );
      const jobOutcome = await this.#attemptGeneration(running);
      if (jobOutcome === 'lost') continue;
      const verdict = jobOutcome === 'done' ? 'good' : 'late';
      return {
        request,
        verdict,
        ...tokenTimes.summarize(),
        isSplit: tokenTimes.isSplit,
      };
    }
    return {
      request,
      verdict: 'lost',
      ...tokenTimes.summarize(),
      isSplit: false,
    };
  }

  async #attemptGeneration(running: RunningGeneration): Promise<JobOutcome> {
    const request = {
      ...running.routeRequest,
      excludedEngines: running.failedEngines,
    };
    const placement = this.#router.placeRequest(request).toMaybe().extract();
    if (placement === undefined) {
      const hasSlept = await sleep(200);
      return running.routeRequest.deadline.hasPassed || !hasSlept
        ? 'late'
        : 'lost';
    }
    if (placement.kind === 'whole') {
      return this.#runOnEngine(running, placement.route, 'whole');
    }
    const prefillOutcome = await this.#runOnEngine(
      running,
      placement.prefill,
      'prefill',
    );
    if (prefillOutcome !== 'done') return prefillOutcome;
    const decodeRoute = this.#router
      .routeStage(request, 'decode')
      .toMaybe()
      .extract();
    if (decodeRoute === undefined) return 'lost';
    await sleep(
      this.#computeKvTransferMs(running, placement.prefill, decodeRoute),
    );
    running.tokenTimes.isSplit = true;
    return this.#runOnEngine(running, decodeRoute, 'decode');
  }

  /** Milliseconds to transfer the blocks that the decode engine has not cached. */
  #computeKvTransferMs(
    running: RunningGeneration,
    prefillRoute: Route,
    decodeRoute: Route,
  ): number {
    const { promptTokens } = running.request;
    if (!(decodeRoute.engine instanceof ReplayEngine)) return 0;
    const missingTokens = decodeRoute.engine.countMissingTokens(
      promptTokens,
      running.routeRequest.prefixBlocks,
    );
    const isSameDataCenter =
      prefillRoute.engine.dataCenter === decodeRoute.engine.dataCenter;
    return computeKvTransferMs(
      this.#options.costModel,
      missingTokens,
      isSameDataCenter,
    );
  }

  async #runOnEngine(
    running: RunningGeneration,
    route: Route,
    stage: Stage,
  ): Promise<JobOutcome> {
    const { engine } = route;
    if (!(engine instanceof ReplayEngine)) return 'lost';
    const { request, routeRequest, tokenTimes, failedEngines } = running;
    const prefillTokens = stage === 'decode' ? 0 : route.prefillTokens;
    const dispatch = this.loadEstimator.recordDispatch(engine.name, {
      prefillTokens,
      priority: request.priority,
    });
    this.#prefixIndex.recordDispatch(engine.name, routeRequest.prefixBlocks);
    this.#dispatchNotifier.addDispatch(engine.name, prefillTokens);
    const jobOutcome = await engine.submitJob({
      blocks: routeRequest.prefixBlocks,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      priority: request.priority,
      stage,
      deadlineAtMs: routeRequest.deadline.atMs,
      onFirstToken: () => {
        dispatch.markPrefilled();
        tokenTimes.recordToken();
      },
      onTokenGap: () => {
        tokenTimes.recordToken();
      },
    });
    dispatch.markEnded();
    if (jobOutcome === 'lost') failedEngines.add(engine.name);
    return jobOutcome;
  }
}
