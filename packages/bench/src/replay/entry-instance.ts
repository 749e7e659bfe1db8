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

import { entitlementOf } from './replay-entitlement.js';
import type { JobEnd } from './engine-job.js';
import { handOverMs } from './engine-cost-model.js';
import type { EngineModel } from './engine-cost-model.js';
import type { Outcome } from './request-outcome.js';
import { TokenTimes } from './token-times.js';
import { ReplayEngine, replayModel } from './replay-engine.js';
import type { ReplayDirectory } from './replay-fleet.js';
import type { ReplayHold } from './request-hold.js';
import type { TraceGeneration, TraceOperation, TraceRequest } from './trace.js';

export interface EntryInstanceOptions {
  readonly name: string;
  readonly dataCenter: string;
  readonly directory: ReplayDirectory;
  readonly peers: () => PeerGroup;
  readonly speed: EngineSpeed;
  readonly model: EngineModel;
  readonly random: () => number;
  readonly hold: ReplayHold;
}

/** Run time of a call at the plain services. */
const serviceMs = 250;
const maxOutputTokens = 2_048;
const maxAttempts = 3;

const maxQueued = 2_000;
const serviceBounds = { maxRunning: 64, maxQueued: 64 };

/** Time of a request on an engine that decodes a batch of ordinary size. */
const expectedRunMs = (
  promptTokens: number,
  outputTokens: number,
  speed: EngineSpeed,
): number => {
  if (outputTokens === 0) return serviceMs;
  const prefillMs = (promptTokens / speed.prefill_tokens_per_second) * 1_000;
  return prefillMs + outputTokens * 1.5 * speed.decode_step_ms;
};

/** The pieces of a prompt: shared ones by prefix, the rest its own. */
export const piecesOf = (
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

interface Running {
  readonly request: TraceGeneration;
  readonly route: RouteRequest;
  readonly times: TokenTimes;
  readonly failed: Set<string>;
}

export class EntryInstance {
  readonly name: string;
  readonly dataCenter: string;
  readonly demand = new DemandMeter();
  readonly book = new LoadEstimator();
  readonly #options: EntryInstanceOptions;
  readonly #prefixes = new PrefixIndex();
  readonly #outputs = new OutputLengthEstimator();
  readonly #router: Router;
  readonly #news: DispatchNotifier;
  readonly #admission: FairAdmission;
  #running = 0;
  #requests = 0;

  constructor(options: EntryInstanceOptions) {
    this.#options = options;
    this.name = options.name;
    this.dataCenter = options.dataCenter;
    const { directory, random, speed } = options;
    this.#router = new Router({
      directory,
      loadEstimator: this.book,
      prefixIndex: this.#prefixes,
      random,
      engineSpeed: speed,
    });
    this.#news = new DispatchNotifier({
      loadEstimator: this.book,
      peers: options.peers(),
      random,
    });
    this.#admission = this.#createAdmission();
  }

  #createAdmission(): FairAdmission {
    const { directory, random, speed } = this.#options;
    const bounds = new GenerationLimit({
      directory,
      loadEstimator: this.book,
      engineSpeed: speed,
    });
    return new FairAdmission({
      getServiceLimits: service =>
        service === 'models'
          ? {
              maxRunning: bounds.computeMaxRunning(this.#running),
              maxQueued: maxQueued,
            }
          : serviceBounds,
      estimateRunMs: ({ promptTokens, outputTokens }) =>
        expectedRunMs(promptTokens, outputTokens, speed),
      random,
    });
  }

  get peerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#news.getPeerMethods();
  }

  /** Polls the engines and tells the peers until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { directory, random } = this.#options;
    const poller = new LoadPoller({
      directory,
      loadEstimator: this.book,
      prefixIndex: this.#prefixes,
      random,
    });
    await Promise.all([poller.run(signal), this.#news.run(signal)]);
  }

  /** Takes a request from its caller to its final answer. */
  handle(request: TraceRequest): Promise<Outcome> {
    return request.kind === 'generation'
      ? this.#generate(request)
      : this.#operate(request);
  }

  async #operate(request: TraceOperation): Promise<Outcome> {
    const deadline = Deadline.after(request.deadlineMs);
    const ticket = await this.#enter(request, request.service, deadline, 0, 0);
    if ('code' in ticket) return ticket;
    await sleep(serviceMs);
    ticket.release();
    const verdict = deadline.hasPassed ? 'late' : 'good';
    return { request, verdict, split: false };
  }

  async #generate(request: TraceGeneration): Promise<Outcome> {
    const deadline = Deadline.after(request.deadlineMs);
    const times = new TokenTimes();
    const { customer, operation, promptTokens, priority } = request;
    this.#requests += 1;
    const prefixBlocks = piecesOf(request, `${this.name}/${this.#requests}`);
    const outputTokens = this.#outputs.estimateOutputTokens(
      customer,
      operation,
      maxOutputTokens,
    );
    const prefillTokens = this.#uncachedTokens(promptTokens, prefixBlocks);
    this.demand.countRequest({ prefillTokens, outputTokens });
    const ticket = await this.#enter(
      request,
      'models',
      deadline,
      prefillTokens,
      outputTokens,
    );
    if ('code' in ticket) return ticket;
    this.#running += 1;
    const route = {
      model: replayModel,
      prefixBlocks,
      promptTokens,
      outputTokens,
      priority,
      deadline,
    };
    const outcome = await this.#serve({
      request,
      route,
      times,
      failed: new Set(),
    });
    this.#running -= 1;
    ticket.release();
    if (outcome.verdict === 'good') {
      this.#outputs.recordLength(customer, operation, request.outputTokens);
    }
    return outcome;
  }

  /** The ticket, or the outcome of a request that was not admitted. */
  async #enter(
    request: TraceRequest,
    service: string,
    deadline: Deadline,
    promptTokens: number,
    outputTokens: number,
  ): Promise<AdmissionPermit | (Outcome & { readonly code: string })> {
    const entered = await this.#admission.acquirePermit(
      {
        entitlement: entitlementOf(request),
        service,
        deadline,
        promptTokens,
        outputTokens,
      },
      new AbortController().signal,
    );
    return entered.caseOf<
      AdmissionPermit | (Outcome & { readonly code: string })
    >({
      Left: ({ code }) => ({ request, verdict: 'refused', code, split: false }),
      Right: ticket => ticket,
    });
  }

  /** Tokens of the prompt that no engine of this data centre has cached. */
  #uncachedTokens(promptTokens: number, pieces: readonly string[]): number {
    const cached = this.#options.directory
      .listEngines()
      .filter(entry => entry.isLocal)
      .map(
        ({ target }) =>
          this.#prefixes.findCachedPrefix(target.name, pieces).blocks,
      );
    return Math.max(
      1,
      promptTokens - Math.max(0, ...cached) * prefixBlockTokens,
    );
  }

  async #serve(running: Running): Promise<Outcome> {
    const { request, times } = running;
    for (let attempt = 0; attempt < maxAttempts; attempt += 1) {
      await this.#options.hold.wait(this.dataCenter, running.route.deadline);
      const end = await this.#attempt(running);
      if (end === 'lost') continue;
      const verdict = end === 'done' ? 'good' : 'late';
      return { request, verdict, ...times.summary(), split: times.split };
    }
    return { request, verdict: 'lost', ...times.summary(), split: false };
  }

  async #attempt(running: Running): Promise<JobEnd> {
    const request = { ...running.route, excludedEngines: running.failed };
    const placement = this.#router.placeRequest(request).toMaybe().extract();
    if (placement === undefined) {
      const waited = await sleep(200);
      return running.route.deadline.hasPassed || !waited ? 'late' : 'lost';
    }
    if (placement.kind === 'whole') {
      return this.#runOn(running, placement.route, 'whole');
    }
    const prefill = await this.#runOn(running, placement.prefill, 'prefill');
    if (prefill !== 'done') return prefill;
    const decode = this.#router
      .routeStage(request, 'decode')
      .toMaybe()
      .extract();
    if (decode === undefined) return 'lost';
    await sleep(this.#handOverMs(running, placement.prefill, decode));
    running.times.split = true;
    return this.#runOn(running, decode, 'decode');
  }

  /** The decode engine fetches only what it has not cached itself. */
  #handOverMs(running: Running, from: Route, to: Route): number {
    const { promptTokens } = running.request;
    if (!(to.engine instanceof ReplayEngine)) return 0;
    const tokens = to.engine.missingTokens(
      promptTokens,
      running.route.prefixBlocks,
    );
    const near = from.engine.dataCenter === to.engine.dataCenter;
    return handOverMs(this.#options.model, tokens, near);
  }

  async #runOn(running: Running, route: Route, stage: Stage): Promise<JobEnd> {
    const { engine } = route;
    if (!(engine instanceof ReplayEngine)) return 'lost';
    const { request, route: wanted, times, failed } = running;
    const prefillTokens = stage === 'decode' ? 0 : route.prefillTokens;
    const dispatch = this.book.recordDispatch(engine.name, {
      prefillTokens,
      priority: request.priority,
    });
    this.#prefixes.recordDispatch(engine.name, wanted.prefixBlocks);
    this.#news.addDispatch(engine.name, prefillTokens);
    const end = await engine.submit({
      pieces: wanted.prefixBlocks,
      promptTokens: request.promptTokens,
      outputTokens: request.outputTokens,
      priority: request.priority,
      stage,
      deadlineAtMs: wanted.deadline.atMs,
      onFirstToken: () => {
        dispatch.markPrefilled();
        times.token();
      },
      onGap: () => {
        times.token();
      },
    });
    dispatch.markEnded();
    if (end === 'lost') failed.add(engine.name);
    return end;
  }
}
